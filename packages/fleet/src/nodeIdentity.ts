// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The identity of a node, and the peers it follows. */

/** Identity of a node. */
export interface NodeIdentity {
  readonly box: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
}

/** The peers that a node follows. */
export interface FollowedPeers {
  /** Addresses of nodes that send everything they read. */
  readonly near: readonly string[];
  /** A node in another data centre, which sends newer versions only. */
  readonly far: string | undefined;
  /**
   * Nodes of this data centre that fell silent; their connections may be dead.
   */
  readonly silent: readonly string[];
}
