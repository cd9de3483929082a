// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Who a node is, and whom it listens to. */

/** Who a node is. */
export interface NodeIdentity {
  readonly box: string;
  readonly dataCentre: string;
  readonly peerAddress: string;
}

/** Whom a node listens to. */
export interface FollowedPeers {
  /** Addresses of nodes that tell all they read. */
  readonly near: readonly string[];
  /** A node in another data centre, which tells of newer versions only. */
  readonly far: string | undefined;
  /** Nodes of this data centre that fell silent; their connections may be dead. */
  readonly silent: readonly string[];
}
