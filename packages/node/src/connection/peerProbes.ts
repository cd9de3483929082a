// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Finds connections between nodes that were lost without having been closed. */

import type {PeerSocket} from './peerSocket.js';

/** Interval between the checks of all connections. */
export const PROBE_TICK_MILLISECONDS = 5000;

/** Ticks without a received byte after which a connection is probed: 20 s. */
const PROBE_TICKS = 5;

/** A probe that is not answered within one more tick ends the connection. */
const DROP_TICKS = PROBE_TICKS + 1;

/** Decides about a connection by the ticks since it received a byte. */
export function probeAction(silentTicks: number): 'none' | 'probe' | 'drop' {
  if (silentTicks === PROBE_TICKS) {
    return 'probe';
  }
  return silentTicks >= DROP_TICKS ? 'drop' : 'none';
}

/**
 * Bytes of incomplete messages that all connections hold together: eight of the
 * longest messages.
 */
export const MAXIMUM_HELD_BYTES = 32 * 1024 * 1024;

/** Calls a function periodically; returns a function that stops it. */
export type StartTicks = (tick: () => void) => () => void;

/** Checks by a timer that does not keep the process running. */
export const startProbeTicks: StartTicks = (tick) => {
  const timer = setInterval(
    // After a late timer, received bytes are read before the check.
    () => setImmediate(tick),
    PROBE_TICK_MILLISECONDS,
  );
  timer.unref();
  return () => clearInterval(timer);
};

/** The open connections of a node's server or of its clients. */
export class PeerSockets {
  private readonly sockets = new Set<PeerSocket>();
  private stopTicks: (() => void) | undefined;

  constructor(private readonly startTicks: StartTicks = startProbeTicks) {}

  get size(): number {
    return this.sockets.size;
  }

  add(socket: PeerSocket): void {
    this.sockets.add(socket);
    this.stopTicks ??= this.startTicks(() =>
      this.sockets.forEach((open) => open.tick()),
    );
  }

  delete(socket: PeerSocket): void {
    this.sockets.delete(socket);
  }

  /** Closes the connection that holds the most bytes while all hold too many. */
  boundHeldBytes(): void {
    let held = 0;
    let most: PeerSocket | undefined;
    for (const socket of this.sockets) {
      held += socket.heldBytes;
      most = (most?.heldBytes ?? 0) >= socket.heldBytes ? most : socket;
    }
    if (held > MAXIMUM_HELD_BYTES) {
      most?.rejectHeld();
    }
  }

  /** Ends all connections. */
  stop(): void {
    this.stopTicks?.();
    this.stopTicks = undefined;
    this.sockets.forEach((socket) => socket.stop());
  }
}
