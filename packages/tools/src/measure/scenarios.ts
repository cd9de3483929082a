// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Measured gray-failure scenarios, services and the traffic model. */

/** Fault injected into one upstream, or into all of them. */
export type Fault =
  | {readonly kind: 'none'}
  | {readonly kind: 'errors'; readonly share: number}
  | {readonly kind: 'slow'; readonly factor: number}
  /** Alternates between faulty and healthy, for this long each. */
  | {readonly kind: 'flapping'; readonly milliseconds: number}
  /** Runs calls, but their answers never arrive. */
  | {readonly kind: 'cut'}
  /** Every upstream fails every call. */
  | {readonly kind: 'outage'}
  /** Every upstream slows down; none is faulty on its own. */
  | {readonly kind: 'shared-slowness'; readonly factor: number};

/** A named fault; one row of the table. */
export interface Scenario {
  readonly name: string;
  readonly fault: Fault;
}

/** All measured scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  {name: 'errors 100%', fault: {kind: 'errors', share: 1}},
  {name: 'errors 30%', fault: {kind: 'errors', share: 0.3}},
  {name: 'errors 10%', fault: {kind: 'errors', share: 0.1}},
  {name: 'slow x10', fault: {kind: 'slow', factor: 10}},
  {name: 'slow x3', fault: {kind: 'slow', factor: 3}},
  {name: 'flapping 4 s', fault: {kind: 'flapping', milliseconds: 4000}},
  {name: 'answers cut', fault: {kind: 'cut'}},
  {name: 'all slow x3', fault: {kind: 'shared-slowness', factor: 3}},
  {name: 'nobody sick', fault: {kind: 'none'}},
];

/** Size and settings of a measured service. */
export interface MeasuredService {
  readonly name: string;
  readonly upstreams: number;
  readonly slots: number;
  readonly floorSlots: number;
  readonly dataCentres: number;
  readonly entries: number;
  readonly sensitivity: 'fast' | 'balanced' | 'careful';
  /** Mean calls per second to one upstream. */
  readonly callsPerUpstream: number;
}

/** The larger and the smaller service of each deployment. */
export const SERVICES: readonly MeasuredService[] = [
  {
    name: 'muscat telemetry',
    upstreams: 15,
    slots: 4,
    floorSlots: 40,
    dataCentres: 3,
    entries: 7,
    sensitivity: 'balanced',
    callsPerUpstream: 20,
  },
  {
    name: 'muscat alerts',
    upstreams: 6,
    slots: 4,
    floorSlots: 16,
    dataCentres: 3,
    entries: 7,
    sensitivity: 'careful',
    callsPerUpstream: 20,
  },
  {
    name: 'monterrey lobby',
    upstreams: 25,
    slots: 3,
    floorSlots: 50,
    dataCentres: 4,
    entries: 8,
    sensitivity: 'fast',
    callsPerUpstream: 20,
  },
  {
    name: 'monterrey grid',
    upstreams: 8,
    slots: 3,
    floorSlots: 15,
    dataCentres: 4,
    entries: 8,
    sensitivity: 'fast',
    callsPerUpstream: 20,
  },
];

/** Parameters of the traffic model, described in docs/MEASUREMENTS.md. */
export const TRAFFIC = {
  medianMilliseconds: 25,
  logDeviation: 0.5,
  /** Share of calls that fail on a healthy upstream. */
  errorShare: 0.002,
  /** Mean pauses per second of a healthy upstream. */
  pausesPerSecond: 1 / 60,
  pauseMilliseconds: 150,
  waitMilliseconds: 2000,
  nearMilliseconds: 0.3,
  farMilliseconds: 1.5,
} as const;
