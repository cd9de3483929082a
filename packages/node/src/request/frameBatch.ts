// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Batches the frames of many exchanges, once per event-loop turn. */

import {decodeFrame, encodeFrame} from './frames.js';
import type {Frame} from './frames.js';

/** Called with the size of each frame that is sent or received. */
export type OnFrameBytes = (kind: Frame['kind'], bytes: number) => void;

/** A frame with the number of its exchange. */
export interface NumberedFrame {
  readonly number: number;
  readonly frame: Frame;
}

const PREFIX_BYTES = 8;

/** Collects frames and writes them as one message. */
export class FrameBatch {
  private parts: Buffer[] = [];

  constructor(
    private readonly write: (bytes: Buffer) => void,
    private readonly onFrameBytes: OnFrameBytes = () => undefined,
  ) {}

  add(number: number, frame: Frame): void {
    const bytes = encodeFrame(frame);
    const prefix = Buffer.allocUnsafe(PREFIX_BYTES);
    prefix.writeUInt32BE(bytes.length, 0);
    prefix.writeUInt32BE(number, 4);
    if (this.parts.length === 0) {
      setImmediate(() => this.flush());
    }
    this.parts.push(prefix, bytes);
    this.onFrameBytes(frame.kind, PREFIX_BYTES + bytes.length);
  }

  private flush(): void {
    const bytes = Buffer.concat(this.parts);
    this.parts = [];
    this.write(bytes);
  }
}

/** Splits a message into its frames; undefined if it is malformed. */
export function decodeBatch(
  bytes: Buffer,
  onFrameBytes: OnFrameBytes = () => undefined,
): readonly NumberedFrame[] | undefined {
  const frames: NumberedFrame[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    if (offset + PREFIX_BYTES > bytes.length) {
      return undefined;
    }
    const length = bytes.readUInt32BE(offset);
    const number = bytes.readUInt32BE(offset + 4);
    const start = offset + PREFIX_BYTES;
    offset = start + length;
    const frame =
      offset > bytes.length
        ? undefined
        : decodeFrame(bytes.subarray(start, offset));
    if (frame === undefined) {
      return undefined;
    }
    onFrameBytes(frame.kind, PREFIX_BYTES + length);
    frames.push({number, frame});
  }
  return frames;
}
