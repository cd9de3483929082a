// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Mechanisms of routing and protection that can be switched off individually to
 * measure their effect. Deployments leave all of them on.
 */

import type {Result} from '@lockpin/types';
import {failure, success} from '@lockpin/utils';

/** Every mechanism, with the behaviour when it is off. */
export const MECHANISMS = {
  'quick-doubt': 'no upstream is kept from ordinary calls after bad ones',
  'hang-evidence': 'calls that have not ended say nothing of their upstream',
  caution: 'single-run calls go to upstreams that look like hanging',
  'excused-failures':
    'failures count though a call that the upstream made has failed',
  'queue-release': 'calls wait on for upstreams that are doubted',
  'suspect-limit': 'upstreams under suspicion announce all of their slots',
  'near-first': 'another data centre is as good as the own',
  'overdue-replacement': 'calls that take too long are not sent elsewhere',
  'late-offers': 'calls are not offered once their answer would be late',
  exploration: 'cold upstreams get no call while others look less busy',
  holding: 'calls that find no slot are refused after one round of offers',
  quarantine: 'requests that end each upstream that runs them run again',
  'paid-retries': 'nothing pays for second attempts',
  'answer-buffering':
    'answers are read only as fast as their callers read them',
} as const;

/** A mechanism that can be switched off. */
export type Mechanism = keyof typeof MECHANISMS;

/** Returns whether a mechanism is on. */
export type MechanismSwitch = (mechanism: Mechanism) => boolean;

/**
 * Parses a comma-separated list of mechanisms; fails with the first unknown
 * name.
 */
export function parseMechanisms(
  text: string,
): Result<readonly Mechanism[], string> {
  const names = text
    .split(',')
    .map((name) => name.trim())
    .filter((name) => name !== '');
  const unknown = names.find((name) => !Object.hasOwn(MECHANISMS, name));
  return unknown === undefined
    ? success(names as Mechanism[])
    : failure(unknown);
}

/** Creates the switch for the given mechanisms that are off. */
export function mechanismSwitch(
  switchedOff: readonly Mechanism[],
): MechanismSwitch {
  return (mechanism) => !switchedOff.includes(mechanism);
}
