// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Bounds the open connections of a server. */

import type {Socket} from 'node:net';
import {steadyClock} from '@lockpin/utils';

/** Interval between reports; a flood closes thousands of connections a second. */
const REPORT_INTERVAL_MILLISECONDS = 1000;

/** Connections that were closed since the last report. */
export interface ClosedConnections {
  /** Idle ones that made room for new ones. */
  readonly idle: number;
  /** New ones, while none was idle. */
  readonly refused: number;
}

/** Options of the bound. */
export interface BoundedConnectionsOptions {
  readonly maximum: number;
  /** Called at the first connection that is closed, then once a second at most. */
  readonly onFull: (closed: ClosedConnections) => void;
  /** Milliseconds. */
  readonly clock?: () => number;
  /** Calls back once what came with a new connection has been read. */
  readonly afterReading?: (done: () => void) => void;
}

/**
 * Closes the connection that has been idle the longest when there are too many,
 * since its client may be gone without having closed it; a new one if none is idle.
 * A connection whose request may not have been read yet is not idle.
 */
export class BoundedConnections {
  private readonly open = new Set<Socket>();
  /** New ones of which nothing may have been read yet. */
  private readonly unread = new Set<Socket>();
  /** The one that has been idle the longest comes first. */
  private readonly idle = new Set<Socket>();
  private closedIdle = 0;
  private refused = 0;
  private reportedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: BoundedConnectionsOptions) {}

  /** Counts a new connection, and closes one if there are too many. */
  opened(socket: Socket): void {
    const {afterReading = afterNextPoll} = this.options;
    this.open.add(socket);
    this.unread.add(socket);
    afterReading(() => {
      if (this.unread.has(socket)) {
        this.unused(socket);
      }
    });
    socket.once('close', () => this.forget(socket));
    if (this.open.size > this.options.maximum) {
      this.closeLongestIdle(socket);
    }
  }

  /** The connection is in use, and is not closed. */
  used(socket: Socket): void {
    this.unread.delete(socket);
    this.idle.delete(socket);
  }

  /** The connection is idle from now on. */
  unused(socket: Socket): void {
    this.unread.delete(socket);
    if (this.open.has(socket)) {
      this.idle.add(socket);
    }
  }

  private closeLongestIdle(newest: Socket): void {
    const [longest = newest] = this.idle;
    this.forget(longest);
    longest.destroy();
    if (longest === newest) {
      this.refused += 1;
    } else {
      this.closedIdle += 1;
    }
    this.report();
  }

  private forget(socket: Socket): void {
    this.open.delete(socket);
    this.unread.delete(socket);
    this.idle.delete(socket);
  }

  private report(): void {
    const {clock = steadyClock, onFull} = this.options;
    const now = clock();
    if (now - this.reportedAt < REPORT_INTERVAL_MILLISECONDS) {
      return;
    }
    this.reportedAt = now;
    onFull({idle: this.closedIdle, refused: this.refused});
    this.closedIdle = 0;
    this.refused = 0;
  }
}

/**
 * A new connection is first polled in the next turn of the event loop, maybe behind
 * the socket that accepts others.
 */
function afterNextPoll(done: () => void): void {
  setImmediate(() => setImmediate(done));
}
