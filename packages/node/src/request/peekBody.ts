// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reads the beginning of a body that may be streamed afterwards. */

import type {IncomingMessage} from 'node:http';

/** The part of a body that arrived in time. */
export type PeekedBody =
  | {readonly kind: 'whole'; readonly bytes: Buffer}
  /** More may follow; the bytes read were put back into the request. */
  | {readonly kind: 'beginning'; readonly bytes: Buffer}
  /** The caller disconnected. */
  | {readonly kind: 'cut'};

/** Reads until enough bytes have arrived, the body ends or the time is up. */
export function peekBody(
  request: IncomingMessage,
  bytesWanted: number,
  milliseconds: number,
): Promise<PeekedBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(putBack, milliseconds);
    function end(peeked: PeekedBody): void {
      clearTimeout(timer);
      request.off('readable', read);
      request.off('end', ended);
      request.off('error', aborted);
      request.off('close', aborted);
      resolve(peeked);
    }
    function putBack(): void {
      const beginning = Buffer.concat(chunks);
      if (beginning.length > 0) {
        request.unshift(beginning);
      }
      end({kind: 'beginning', bytes: beginning});
    }
    function read(): void {
      for (let chunk = next(); chunk !== null; chunk = next()) {
        chunks.push(chunk);
        bytes += chunk.length;
      }
      if (bytes >= bytesWanted) {
        putBack();
      }
    }
    function next(): Buffer | null {
      return bytes >= bytesWanted ? null : (request.read() as Buffer | null);
    }
    function ended(): void {
      end({kind: 'whole', bytes: Buffer.concat(chunks)});
    }
    function aborted(): void {
      end({kind: 'cut'});
    }
    request.on('readable', read);
    request.on('end', ended);
    request.on('error', aborted);
    request.on('close', aborted);
  });
}
