// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Bounds the open connections of a server. */

import type {Socket} from 'node:net';
import {steadyClock} from '@lockpin/utils';
import {afterNextPoll} from './afterNextPoll.js';

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
  /** Closes a connection that carried no request; it is only closed by default. */
  readonly refuse?: (socket: Socket) => void;
  /** Milliseconds. */
  readonly clock?: () => number;
  /** Calls back once what came with a new connection has been read. */
  readonly afterReading?: (done: () => void) => void;
}

/**
 * Closes an idle connection when there are too many, since its client may be gone
 * without having closed it; the new one if none is idle. Connections that carried a
 * request keep up to half of the room, as many that carry none may come; of either
 * kind, the one that has been idle the longest is closed. A connection whose first
 * request may not have been read yet is not idle.
 */
export class BoundedConnections {
  private readonly open = new Set<Socket>();
  /** New ones of which nothing may have been read yet. */
  private readonly unread = new Set<Socket>();
  /** Idle ones without a request so far; the oldest comes first. */
  private readonly fresh = new Set<Socket>();
  /** Others; the one that has been idle the longest comes first. */
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
      if (this.unread.delete(socket)) {
        this.fresh.add(socket);
      }
    });
    socket.once('close', () => this.forget(socket));
    if (this.open.size > this.options.maximum) {
      this.makeRoom(socket);
    }
  }

  /** The connection is in use, and is not closed. */
  used(socket: Socket): void {
    this.unread.delete(socket);
    this.fresh.delete(socket);
    this.idle.delete(socket);
  }

  /** The connection is idle from now on. */
  unused(socket: Socket): void {
    if (this.open.has(socket)) {
      this.idle.add(socket);
    }
  }

  private makeRoom(newest: Socket): void {
    const {maximum, refuse = destroy} = this.options;
    const [fresh] = this.fresh;
    const [idle] = this.idle;
    const used = this.open.size - this.unread.size - this.fresh.size;
    const closed =
      (used > maximum / 2 ? (idle ?? fresh) : (fresh ?? idle)) ?? newest;
    this.forget(closed);
    (closed === idle ? destroy : refuse)(closed);
    if (closed === newest) {
      this.refused += 1;
    } else {
      this.closedIdle += 1;
    }
    this.report();
  }

  private forget(socket: Socket): void {
    this.open.delete(socket);
    this.unread.delete(socket);
    this.fresh.delete(socket);
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

function destroy(socket: Socket): void {
  socket.destroy();
}
