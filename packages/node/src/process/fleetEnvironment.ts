// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What the host of a fleet's node needs of the world, and what it tells the process. */

import type {GuardEvent} from '@lockpin/brain';
import type {
  FleetNews,
  FollowedPeers,
  PeerKnowledge,
  PeerQuestion,
  RecordStore,
} from '@lockpin/fleet';
import type {LimitMessage} from '@lockpin/limits';
import type {LoadHint} from '@lockpin/routing';
import type {Clock, RandomSource, Resource} from '@lockpin/types';
import type {GainListener} from '@lockpin/utils';

/** All that the host needs of the world. */
export interface FleetEnvironment {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Calls back with each suspension that the clock counts; returns what ends that. */
  readonly onClockGain: (listener: GainListener) => () => void;
  readonly every: (milliseconds: number, run: () => void) => () => void;
  readonly store: RecordStore;
  readonly askPeer: (
    address: string,
    question: PeerQuestion,
    done: (knowledge: PeerKnowledge | undefined) => void,
  ) => void;
}

/** What the host tells the rest of the process. */
export interface FleetHostListeners {
  readonly onGuardEvent: (event: GuardEvent) => void;
  readonly onUpstreams: (upstreams: readonly Resource<'Upstream'>[]) => void;
  readonly onVersion: (version: number) => void;
  /** These nodes are to be followed from now on, and no others. */
  readonly onFollow: (peers: FollowedPeers) => void;
  /** For the nodes that follow this one. */
  readonly onFollowerNews: (news: FleetNews) => void;
  /** Limits are kept together with other boxes. */
  readonly onLimitMessage: (box: string, message: LimitMessage) => void;
  /** A box did not answer; the connection to it may be dead. */
  readonly onSilence: (box: string) => void;
  /** The guard here changed its mind about its upstream. */
  readonly onStanding: (upstream: string, hint: LoadHint) => void;
  /** For the nodes whose entries call here. */
  readonly onEntryNews: (news: FleetNews) => void;
  /** For the nodes at these addresses. */
  readonly onNodeNews: (addresses: readonly string[], news: FleetNews) => void;
  /** No upstream is to run this request. */
  readonly onQuarantined: (requestDigest: string) => void;
  /** The machine was suspended, and timers with it. */
  readonly onSuspended: () => void;
}
