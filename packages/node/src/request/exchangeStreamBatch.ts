// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Writes batches of frames as messages of a permitted size. */

import {MAXIMUM_MESSAGE_BYTES} from '../connection/peerProtocol.js';
import type {PeerStream} from '../connection/peerStream.js';

/** Bytes before each frame of a FrameBatch: its length and exchange number. */
const PREFIX_BYTES = 8;

/**
 * Writes a batch as one message, or as several if it is larger than a message
 * may be: the frames of one event-loop turn can hold many whole answers.
 */
export function writeBatch(
  stream: Pick<PeerStream, 'write'>,
  batch: Buffer,
  maximumBytes = MAXIMUM_MESSAGE_BYTES,
): void {
  let start = 0;
  while (batch.length - start > maximumBytes) {
    const end = lastFrameEnd(batch, start, maximumBytes);
    stream.write(batch.subarray(start, end));
    start = end;
  }
  stream.write(batch.subarray(start));
}

/** Returns the end of the last frame that fits; at least one frame is taken. */
function lastFrameEnd(
  batch: Buffer,
  start: number,
  maximumBytes: number,
): number {
  let end = start;
  for (;;) {
    const next = end + PREFIX_BYTES + batch.readUInt32BE(end);
    if (end > start && next - start > maximumBytes) {
      return end;
    }
    end = next;
    if (end >= batch.length) {
      return end;
    }
  }
}
