// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** External dependencies of the host of a fleet's node, and its listeners. */

import type {GuardEvent} from '@lockpin/brain';
import type {
  FleetUpdate,
  FollowedPeers,
  PeerQueryReply,
  PeerQuery,
  RecordStore,
} from '@lockpin/fleet';
import type {LimitMessage} from '@lockpin/limits';
import type {LoadHint} from '@lockpin/routing';
import type {Clock, RandomSource, Resource} from '@lockpin/types';
import type {SuspensionListener} from '@lockpin/utils';

/** External dependencies of the host. */
export interface FleetEnvironment {
  readonly clock: Clock;
  readonly random: RandomSource;
  /**
   * Subscribes to suspensions of the machine; returns a function that
   * unsubscribes.
   */
  readonly onSuspension: (listener: SuspensionListener) => () => void;
  /** Calls a function periodically; returns a function that stops it. */
  readonly every: (milliseconds: number, run: () => void) => () => void;
  readonly store: RecordStore;
  readonly queryPeer: (
    address: string,
    query: PeerQuery,
    done: (reply: PeerQueryReply | undefined) => void,
  ) => void;
}

/** Listeners of the host in the rest of the process. */
export interface FleetHostListeners {
  readonly onGuardEvent: (event: GuardEvent) => void;
  readonly onUpstreams: (upstreams: readonly Resource<'Upstream'>[]) => void;
  readonly onVersion: (version: number) => void;
  /** Replaces the set of nodes to follow. */
  readonly onFollow: (peers: FollowedPeers) => void;
  /** Sends an update to the nodes that follow this one. */
  readonly onFollowerUpdate: (news: FleetUpdate) => void;
  /** Sends a rate limit message to another box. */
  readonly onLimitMessage: (box: string, message: LimitMessage) => void;
  /** Called if a box did not answer; the connection to it may be dead. */
  readonly onUnresponsive: (box: string) => void;
  /** Called if the guard of this node changed the state of its upstream. */
  readonly onStanding: (upstream: string, hint: LoadHint) => void;
  /** Sends an update to the nodes whose entries call this node. */
  readonly onEntryUpdate: (news: FleetUpdate) => void;
  /** Sends an update to the nodes at these addresses. */
  readonly onNodeUpdate: (
    addresses: readonly string[],
    news: FleetUpdate,
  ) => void;
  /** Requests the version in force from the node at this address. */
  readonly onVersionRequest: (address: string, clock: number) => void;
  /** Called if a node did not reply; the connection to it may be dead. */
  readonly onPeerUnresponsive: (address: string) => void;
  /** Called if no upstream may run this request any more. */
  readonly onQuarantined: (requestDigest: string) => void;
  /** Called after the machine, and with it all timers, was suspended. */
  readonly onSuspended: () => void;
}
