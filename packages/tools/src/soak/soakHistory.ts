// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The history of a soak, for the checks. All times are in milliseconds. */

/** How a request ended for its caller. */
export type CallEnd =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly saysNotRun: boolean;
      readonly hasProof: boolean;
      /** Id of the request that the answer states. */
      readonly requestId: string | undefined;
      readonly body: string;
      /** What the upstream states about itself in the answer. */
      readonly statesLimit: boolean;
      readonly statesLeaving: boolean;
    }
  /** The connection ended before the answer was complete. */
  | {readonly kind: 'broken'; readonly hadBegun: boolean}
  /** The connection to the node could not be opened. */
  | {readonly kind: 'not-connected'};

/** Status of the answer to a served request. */
const SERVED_STATUS = 200;

/** Whether a request was served successfully. */
export function isServed(end: CallEnd): boolean {
  return end.kind === 'answered' && end.status === SERVED_STATUS;
}

/** One call, as its caller saw it. */
export interface CallRecord {
  readonly requestId: string;
  readonly box: string;
  readonly service: string;
  readonly isRepeatable: boolean;
  /** Timeout of the route. */
  readonly timeoutMilliseconds: number;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly end: CallEnd;
}

/** One execution of a request at an upstream. */
export interface RunRecord {
  readonly requestId: string;
  readonly lifetime: string;
  readonly at: number;
}

/** A request that reached an upstream, executed or not. */
export interface ArrivalRecord extends RunRecord {
  readonly service: string;
}

/** Acknowledgement by a node that an upstream is draining or gone. */
export interface DrainRecord {
  readonly lifetime: string;
  readonly box: string;
  readonly acknowledgedAt: number;
}

/** A request for the marker route of a version. */
export interface VersionProbe {
  readonly box: string;
  /** Number of starts of the box's process, which identifies the process. */
  readonly life: number;
  readonly version: number;
  readonly sentAt: number;
  readonly endedAt: number;
  /** Whether the node knew the route; undefined without a usable answer. */
  readonly isKnown: boolean | undefined;
}

/** Confirmation of a version by the store. */
export interface ConfirmedVersion {
  readonly version: number;
  readonly confirmedAt: number;
}

/** A fault or planned operation that affected a box or the store. */
export interface DisruptionRecord {
  /** Empty for the store, which affects all boxes. */
  readonly box: string;
  /** Planned operations are guaranteed to lose no call. */
  readonly isPlanned: boolean;
  readonly what: string;
  readonly from: number;
  /** Infinity until it ends. */
  until: number;
}

/** A planned stop of a node process. */
export interface StopRecord {
  readonly box: string;
  readonly signalledAt: number;
  readonly exitedAt: number;
  readonly exitCode: number | null;
  /** The node exceeded the stop limit and was killed. */
  readonly wasKilled: boolean;
}

/** An unexpected exit of a node process. */
export interface ExitRecord {
  readonly box: string;
  readonly at: number;
  readonly exitCode: number | null;
  /** The signal that ended the process. */
  readonly signal: NodeJS.Signals | null;
  /** Time from the start of the process, in milliseconds. */
  readonly age: number;
}

/** Time for which the event loop of a process did not run. */
export interface StallRecord {
  /** Empty for the process of the soak. */
  readonly box: string;
  readonly from: number;
  readonly until: number;
}

/** A limit of requests per second that an upstream stated for a time. */
export interface LimitRecord {
  readonly lifetime: string;
  /** Box of the upstream. */
  readonly box: string;
  readonly requestsPerSecond: number;
  readonly from: number;
  /** Infinity until it ends. */
  until: number;
}

/** Time for which an upstream process took calls. */
export interface UpstreamPeriod {
  readonly lifetime: string;
  readonly box: string;
  readonly service: string;
  /** When its first announcement was acknowledged; Infinity if none was. */
  readonly readyFrom: number;
  /** When it began to leave, or ended; Infinity if it did not. */
  readonly readyUntil: number;
}

/** Everything that the checks use. */
export interface SoakHistory {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly arrivals: readonly ArrivalRecord[];
  readonly drains: readonly DrainRecord[];
  readonly limits: readonly LimitRecord[];
  readonly upstreams: readonly UpstreamPeriod[];
  readonly versionProbes: readonly VersionProbe[];
  readonly versions: readonly ConfirmedVersion[];
  readonly disruptions: readonly DisruptionRecord[];
  readonly stops: readonly StopRecord[];
  readonly unexpectedExits: readonly ExitRecord[];
  readonly stalls: readonly StallRecord[];
  /** Start of the final phase, after all disruptions have ended. */
  readonly steadyStateFrom: number;
  /** Upstreams that were ready at the end of the soak. */
  readonly readyLifetimes: readonly string[];
}

/** Limits of the guarantees, in line with the nodes' settings. */
export interface SoakBounds {
  /** Time after the acknowledgement of a drain for calls to stop arriving. */
  readonly drainMilliseconds: number;
  /** Time from the confirmation of a version until it is in force. */
  readonly applyMilliseconds: number;
  /** Time for which an older version may be observed after a newer one. */
  readonly rollbackMilliseconds: number;
  /** Time without disruption after which the guarantees hold for a box. */
  readonly settleMilliseconds: number;
  /** A broken call that did not run is lost only if it lasted longer. */
  readonly stopRaceMilliseconds: number;
  /** Tolerance for the final answer after the route's timeout. */
  readonly lateMilliseconds: number;
  readonly retryRatio: number;
  readonly retryWindowMilliseconds: number;
  readonly retryExtra: number;
}

/** A violated guarantee. */
export interface Violation {
  readonly guarantee: string;
  readonly subject: string;
  readonly detail: string;
}

/** Creates a violation. */
export function createViolation(
  guarantee: string,
  subject: string,
  detail: string,
): Violation {
  return {guarantee, subject, detail};
}
