// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A measurement task for a worker process, and its outcome. */

import {
  createConsecutiveErrorsDetector,
  createSuccessRateDetector,
} from './baselines.js';
import {countFalseAlarms} from './falseAlarms.js';
import type {FalseAlarmResult} from './falseAlarms.js';
import {SCENARIOS, SERVICES} from './scenarios.js';
import {runService} from './serviceRun.js';
import type {RunResult} from './serviceRunOptions.js';

/** Names of the compared detectors. */
export const DETECTORS = ['lockpin', 'five in a row', 'success rate'] as const;

/** Name of a compared detector. */
export type DetectorName = (typeof DETECTORS)[number];

/** A task for one worker process. */
export type MeasureTask =
  | {
      readonly kind: 'run';
      readonly service: number;
      readonly scenario: number;
      readonly detector: DetectorName;
      readonly seeds: readonly number[];
      readonly seconds: number;
    }
  | {
      readonly kind: 'false-alarms';
      readonly service: number;
      readonly days: number;
      readonly seed: number;
    };

/** The outcome that a worker process sends back. */
export type MeasureOutcome =
  | {
      readonly kind: 'run';
      readonly task: MeasureTask & {readonly kind: 'run'};
      readonly results: readonly RunResult[];
    }
  | {
      readonly kind: 'false-alarms';
      readonly task: MeasureTask & {readonly kind: 'false-alarms'};
      readonly result: FalseAlarmResult;
    };

/** Runs one task. */
export function measureTask(task: MeasureTask): MeasureOutcome {
  const service = SERVICES[task.service];
  if (service === undefined) {
    throw new Error(
      `measurement task names unknown service index ${task.service}`,
    );
  }
  if (task.kind === 'false-alarms') {
    const {sensitivity, callsPerUpstream} = service;
    const {days, seed} = task;
    const result = countFalseAlarms(sensitivity, callsPerUpstream, days, seed);
    return {kind: 'false-alarms', task, result};
  }
  const fault = SCENARIOS[task.scenario]?.fault ?? {kind: 'none'};
  const results = task.seeds.map((seed) =>
    runService({
      service,
      fault,
      seed,
      seconds: task.seconds,
      ...baselineOption(task.detector),
    }),
  );
  return {kind: 'run', task, results};
}

function baselineOption(detector: DetectorName) {
  switch (detector) {
    case 'lockpin':
      return {};
    case 'five in a row':
      return {baseline: createConsecutiveErrorsDetector()};
    case 'success rate':
      return {baseline: createSuccessRateDetector()};
  }
}
