// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reads a body that is buffered completely. */

import type {IncomingMessage} from 'node:http';

/**
 * Reads a body; 'too-large' above the limit, 'cut' if the caller disconnects.
 */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
): Promise<Buffer | 'too-large' | 'cut'> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > limitBytes) {
        request.removeAllListeners('data');
        request.resume();
        resolve('too-large');
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () =>
      resolve(
        chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks),
      ),
    );
    request.on('error', () => resolve('cut'));
    request.on('close', () => resolve('cut'));
  });
}
