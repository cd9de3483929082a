// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Options and result of a measured service run. */

import type {BaselineDetector} from './baselines.js';
import type {Fault, MeasuredService} from './scenarios.js';

/** What one run is given. */
export interface RunOptions {
  readonly service: MeasuredService;
  readonly fault: Fault;
  readonly seed: number;
  readonly seconds: number;
  /** Seconds after which the fault is over; it stays when left out. */
  readonly faultSeconds?: number;
  /** Takes the place of lockpin's ejections, which are then switched off. */
  readonly baseline?: BaselineDetector;
  /** Who calls, and with which share of the calls; one customer when left out. */
  readonly customers?: readonly CallingCustomer[];
}

/** A customer and its share of the traffic. */
export interface CallingCustomer {
  readonly name: string;
  readonly share: number;
}

/** What one run came to. */
export interface RunResult {
  /** Milliseconds from the fault to the ejection; undefined when never. */
  readonly detection: number | undefined;
  /** Healthy upstreams ejected. */
  readonly falseEjections: number;
  readonly floorBroken: number;
  readonly calls: number;
  readonly refusedOrFailed: number;
  /** Attempts that upstreams ran, over calls. */
  readonly amplification: number;
  /** Calls that got an answer other than a failure, by customer. */
  readonly answeredWell: ReadonlyMap<string, readonly number[]>;
  /** Every change of an upstream's standing, for golden files. */
  readonly events: readonly string[];
}
