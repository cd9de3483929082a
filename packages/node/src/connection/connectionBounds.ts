// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Divides the file descriptors of a process among its connections. Without a free
 * one, it can neither accept nor connect, and libuv may accept in vain without a
 * pause, as the listening socket stays ready.
 */

/** Where no limit is set; the smallest boxes have about this many. */
export const DEFAULT_DESCRIPTORS = 4096;

/** Descriptors that are not for connections: files, pipes, the event loop. */
const OTHER_DESCRIPTORS = 200;

/** Shares of the rest. What remains is for upstreams and the store. */
const CALLER_SHARE = 0.4;
const PEER_SHARE = 0.15;
const LOCAL_SHARE = 0.08;

/** A small number, so that few descriptors still allow each purpose some. */
const MINIMUM_CONNECTIONS = 4;

/** The most connections of a process that may be open for each purpose. */
export interface ConnectionBounds {
  readonly callers: number;
  /** From other nodes, and as many to them. */
  readonly peers: number;
  /** To each address that the box itself uses, such as that of the metrics. */
  readonly local: number;
}

/** Returns the bounds of a process with so many descriptors. */
export function connectionBounds(
  descriptors = DEFAULT_DESCRIPTORS,
): ConnectionBounds {
  const connections = descriptors - OTHER_DESCRIPTORS;
  const share = (part: number): number =>
    Math.max(MINIMUM_CONNECTIONS, Math.floor(connections * part));
  return {
    callers: share(CALLER_SHARE),
    peers: share(PEER_SHARE),
    local: share(LOCAL_SHARE),
  };
}
