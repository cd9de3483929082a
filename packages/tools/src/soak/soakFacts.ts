// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What callers, upstreams and operators of a soak saw. All times are in milliseconds. */

/** How a request ended for its caller. */
export type CallEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly saysNotRun: boolean;
      readonly hasProof: boolean;
      /** The request that the answer says it belongs to. */
      readonly requestId: string | undefined;
      readonly body: string;
    }
  /** The connection ended before a whole answer. */
  | {readonly kind: 'broken'; readonly hadBegun: boolean}
  /** The node took no connection. */
  | {readonly kind: 'not-connected'};

/** The status of an answer to a request that was served. */
const SERVED_STATUS = 200;

/** Whether a request was answered as its caller wanted. */
export function isServed(end: CallEnd): boolean {
  return end.kind === 'answered' && end.status === SERVED_STATUS;
}

/** One request. */
export interface CallFact {
  readonly requestId: string;
  readonly box: string;
  readonly service: string;
  readonly isRepeatable: boolean;
  /** The longest that the route lets it be held. */
  readonly timeoutMilliseconds: number;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly end: CallEnd;
}

/** One run of a request at an upstream. */
export interface RunFact {
  readonly requestId: string;
  readonly lifetime: string;
  readonly at: number;
}

/** A request that reached an upstream, whether it was run or not. */
export interface ArrivalFact extends RunFact {
  readonly service: string;
}

/** A node acknowledged that an upstream drains or is gone. */
export interface DrainFact {
  readonly lifetime: string;
  readonly box: string;
  readonly acknowledgedAt: number;
}

/** A question for the route that exists in one version only. */
export interface MarkerFact {
  readonly box: string;
  /** Counts the starts of the box's process. */
  readonly life: number;
  readonly version: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Whether the node knew the route; undefined when it did not answer. */
  readonly isKnown: boolean | undefined;
}

/** The store confirmed a version. */
export interface VersionFact {
  readonly version: number;
  readonly confirmedAt: number;
}

/** What was done to a box or to the store. */
export interface TroubleFact {
  /** Empty for the store, which concerns all. */
  readonly box: string;
  /** Planned stops are promised to lose nothing. */
  readonly isPlanned: boolean;
  readonly what: string;
  readonly from: number;
  /** Infinity while it lasts. */
  until: number;
}

/** A planned stop of a node's process. */
export interface StopFact {
  readonly box: string;
  readonly signalledAt: number;
  readonly exitedAt: number;
  readonly exitCode: number | null;
  /** Its time to stop was over, and it was killed. */
  readonly wasKilled: boolean;
}

/** A node's process ended though nobody had asked it to. */
export interface ExitFact {
  readonly box: string;
  readonly at: number;
  readonly exitCode: number | null;
}

/** All that is checked. */
export interface SoakFacts {
  readonly calls: readonly CallFact[];
  readonly runs: readonly RunFact[];
  readonly arrivals: readonly ArrivalFact[];
  readonly drains: readonly DrainFact[];
  readonly markers: readonly MarkerFact[];
  readonly versions: readonly VersionFact[];
  readonly troubles: readonly TroubleFact[];
  readonly stops: readonly StopFact[];
  readonly unasked: readonly ExitFact[];
  /** When all troubles were over and the last phase began. */
  readonly calmFrom: number;
  /** Upstreams that took work throughout the last phase. */
  readonly readyLifetimes: readonly string[];
}

/** What the system promises, as in the nodes' settings. */
export interface SoakBounds {
  /** After an acknowledgement, a leaving upstream gets nothing more. */
  readonly drainMilliseconds: number;
  /** From a version's confirmation until it is in force. */
  readonly applyMilliseconds: number;
  /** After a version was seen, how long an older one may still be met. */
  readonly rollbackMilliseconds: number;
  /** Before a moment, how long a box must have been untroubled to be bound. */
  readonly contactMilliseconds: number;
  /** A request cut by a planned stop is lost unless it was sent this shortly before. */
  readonly lossMilliseconds: number;
  /** After a route's time limit, how late the final answer may be. */
  readonly lateMilliseconds: number;
  readonly retryRatio: number;
  readonly retryWindowMilliseconds: number;
  readonly retryExtra: number;
}

/** A promise that was broken. */
export interface Violation {
  readonly promise: string;
  readonly subject: string;
  readonly detail: string;
}

/** Names a broken promise. */
export function broken(
  promise: string,
  subject: string,
  detail: string,
): Violation {
  return {promise, subject, detail};
}
