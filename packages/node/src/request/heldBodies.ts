// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The memory of a process for the bodies of requests that arrive. */

import type {IncomingMessage} from 'node:http';

/**
 * Bytes of all bodies that have not arrived whole: a thousand of the longest that
 * are buffered. Sound callers send one within milliseconds.
 */
export const MAXIMUM_ARRIVING_BYTES = 64 * 1024 * 1024;

interface ArrivingBody {
  bytes: number;
  readonly cut: () => void;
}

/** Counts the bytes of arriving bodies, and cuts the slowest when too many. */
export class HeldBodies {
  /** Ordered by the time since which they arrive. */
  private readonly bodies = new Map<IncomingMessage, ArrivingBody>();
  private bytes = 0;

  constructor(private readonly maximumBytes = MAXIMUM_ARRIVING_BYTES) {}

  /** Counts a body from now on; `cut` is called at most once. */
  begin(request: IncomingMessage, cut: () => void): void {
    this.bodies.set(request, {bytes: 0, cut});
  }

  /** Counts bytes that have arrived. */
  add(request: IncomingMessage, bytes: number): void {
    const body = this.bodies.get(request);
    if (body === undefined) {
      return;
    }
    body.bytes += bytes;
    this.bytes += bytes;
    while (this.bytes > this.maximumBytes) {
      const [oldest] = this.bodies;
      if (oldest === undefined) {
        return;
      }
      this.end(oldest[0]);
      oldest[1].cut();
    }
  }

  /** The body has arrived, or is not waited for any more. */
  end(request: IncomingMessage): void {
    this.bytes -= this.bodies.get(request)?.bytes ?? 0;
    this.bodies.delete(request);
  }
}
