// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reads a body that is buffered completely. */

import type {IncomingMessage} from 'node:http';
import {HeldBytes} from '@lockpin/utils';
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
    let bytes = new HeldBytes();
    const end = (read: Buffer | 'too-large' | 'cut' | 'slow'): void => {
      held.end(request);
      resolve(read);
    };
    const drop = (read: 'too-large' | 'slow'): void => {
      request.removeAllListeners('data');
      request.resume();
      bytes = new HeldBytes();
      end(read);
    };
    held.begin(request, () => drop('slow'));
    request.on('data', (chunk: Buffer) => {
      if (bytes.length + chunk.length > limitBytes) {
        drop('too-large');
        return;
      }
      bytes.add(chunk);
      held.add(request, chunk.length);
    });
    request.on('end', () => end(bytes.whole()));
    request.on('error', () => end('cut'));
    request.on('close', () => end('cut'));
  });
}
