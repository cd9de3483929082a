// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * External dependencies of a node, and listeners in the rest of its process.
 */

import type {
  AppendResult,
  GuardEvent,
  ListedBox,
  LogReadResult,
  PeerReply,
  PeerRequest,
  StreamName,
} from '@lockpin/brain';
import type {FoldResult} from '@lockpin/configuration';
import type {Datagram} from '@lockpin/membership';
import type {
  Clock,
  RandomSource,
  Resource,
  TimelineEvent,
} from '@lockpin/types';

/**
 * All external dependencies of a node. A test harness that provides them can
 * run a whole node with simulated time, randomness and network.
 */
export interface NodeEnvironment {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Calls a function periodically; returns a function that stops it. */
  readonly every: (milliseconds: number, run: () => void) => () => void;
  readonly sendDatagram: (address: string, datagram: Datagram) => void;
  readonly exchange: (
    address: string,
    request: PeerRequest,
    done: (reply: PeerReply | undefined) => void,
  ) => void;
  readonly readLog: (
    stream: StreamName,
    from: number,
    waitMilliseconds: number,
  ) => Promise<LogReadResult>;
  readonly appendToLog: (
    stream: StreamName,
    value: unknown,
  ) => Promise<AppendResult>;
  readonly listBoxes: () => Promise<readonly ListedBox[] | undefined>;
}

/** Listeners of the host in the rest of the process. */
export interface NodeHostListeners {
  readonly onGuardEvent: (event: GuardEvent) => void;
  readonly onUpstreams: (upstreams: readonly Resource<'Upstream'>[]) => void;
  readonly onFolded: (folds: readonly FoldResult[]) => void;
  readonly onStateReplaced: () => void;
  readonly onInForce: (box: string, version: number) => void;
  readonly onTimeline: (event: TimelineEvent) => void;
}
