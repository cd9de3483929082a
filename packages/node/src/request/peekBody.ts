// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Looks at the beginning of a body that may be streamed afterwards. */

import type {IncomingMessage} from 'node:http';

/** What was there in time. */
export type PeekedBody =
  | {readonly kind: 'whole'; readonly bytes: Buffer}
  /** More may come; what was read is given back to the request. */
  | {readonly kind: 'beginning'; readonly bytes: Buffer}
  /** The caller left. */
  | {readonly kind: 'cut'};

/** Reads until so many bytes are there, the body has ended, or the time is over. */
export function peekBody(
  request: IncomingMessage,
  bytesWanted: number,
  milliseconds: number,
): Promise<PeekedBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    const timer = setTimeout(giveBack, milliseconds);
    function end(peeked: PeekedBody): void {
      clearTimeout(timer);
      request.off('readable', read);
      request.off('end', ended);
      request.off('error', cut);
      request.off('close', cut);
      resolve(peeked);
    }
    function giveBack(): void {
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
        giveBack();
      }
    }
    function next(): Buffer | null {
      return bytes >= bytesWanted ? null : (request.read() as Buffer | null);
    }
    function ended(): void {
      end({kind: 'whole', bytes: Buffer.concat(chunks)});
    }
    function cut(): void {
      end({kind: 'cut'});
    }
    request.on('readable', read);
    request.on('end', ended);
    request.on('error', cut);
    request.on('close', cut);
  });
}
