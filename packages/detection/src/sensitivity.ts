// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The sensitivity setting of a service, which trades detection time against
 * false ejections.
 */

import type {Sensitivity} from '@lockpin/types';

/** The thresholds and times that a sensitivity stands for. */
export interface DetectionSettings {
  /** Score of the error test at which an upstream is condemned. */
  readonly errorThreshold: number;
  /** Score of the slowness test at which an upstream is condemned. */
  readonly slowThreshold: number;
  /** Failures must have lasted this long, whatever their score is. */
  readonly minimumRiseMilliseconds: number;
  /** Time that an ejection request must persist before it is granted. */
  readonly settleMilliseconds: number;
  /** Duration of the first ejection, in milliseconds. */
  readonly initialHoldMilliseconds: number;
}

/** The settings of each sensitivity; see docs/MEASUREMENTS.md. */
export const DETECTION_SETTINGS: Readonly<
  Record<Sensitivity, DetectionSettings>
> = {
  fast: {
    errorThreshold: 14,
    slowThreshold: 11,
    minimumRiseMilliseconds: 100,
    settleMilliseconds: 150,
    initialHoldMilliseconds: 5000,
  },
  balanced: {
    errorThreshold: 18,
    slowThreshold: 13.5,
    minimumRiseMilliseconds: 200,
    settleMilliseconds: 250,
    initialHoldMilliseconds: 10_000,
  },
  careful: {
    errorThreshold: 24,
    slowThreshold: 14,
    minimumRiseMilliseconds: 400,
    settleMilliseconds: 400,
    initialHoldMilliseconds: 15_000,
  },
};
