// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reads a body that is buffered completely. */

import type {IncomingMessage} from 'node:http';
import {HeldBodies} from './heldBodies.js';

/**
 * Reads a body; 'too-large' above the limit, 'cut' if the caller disconnects,
 * 'slow' if it arrives more slowly than others that need its memory.
 */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
  held = new HeldBodies(),
): Promise<Buffer | 'too-large' | 'cut' | 'slow'> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const end = (read: Buffer | 'too-large' | 'cut' | 'slow'): void => {
      held.end(request);
      resolve(read);
    };
    const drop = (read: 'too-large' | 'slow'): void => {
      request.removeAllListeners('data');
      request.resume();
      chunks.length = 0;
      end(read);
    };
    held.begin(request, () => drop('slow'));
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > limitBytes) {
        drop('too-large');
        return;
      }
      chunks.push(chunk);
      held.add(request, chunk.length);
    });
    request.on('end', () =>
      end(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks)),
    );
    request.on('error', () => end('cut'));
    request.on('close', () => end('cut'));
  });
}
