// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Options and result of a simulated service run. */

import type {BaselineDetector} from './baselines.js';
import type {Fault, MeasuredService} from './scenarios.js';

/** Options of one run. */
export interface RunOptions {
  readonly service: MeasuredService;
  readonly fault: Fault;
  readonly seed: number;
  readonly seconds: number;
  /** Duration of the fault in seconds; it persists if undefined. */
  readonly faultSeconds?: number;
  /** Detector that replaces lockpin's ejections, which are then disabled. */
  readonly baseline?: BaselineDetector;
  /** Customers and their shares of the calls; one customer if undefined. */
  readonly customers?: readonly CustomerShare[];
}

/** A customer and its share of the traffic. */
export interface CustomerShare {
  readonly name: string;
  readonly share: number;
}

/** Result of one run. */
export interface RunResult {
  /** Milliseconds from fault to detection; undefined if not detected. */
  readonly detection: number | undefined;
  /** Ejections of healthy upstreams. */
  readonly falseEjections: number;
  /** Timeline events after which fewer slots than the floor were in service. */
  readonly floorBroken: number;
  readonly calls: number;
  readonly refusedOrFailed: number;
  /** Attempts that upstreams ran, per call. */
  readonly amplification: number;
  /** Durations of successful calls in milliseconds, by customer. */
  readonly successDurations: ReadonlyMap<string, readonly number[]>;
  /** Timeline events of the upstreams, for the golden files. */
  readonly events: readonly string[];
}
