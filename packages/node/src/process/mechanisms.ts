// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The mechanisms of routing and protection that can be switched off one by one, to
 * measure what each is worth. A deployment leaves all of them on.
 */

import type {Result} from '@lockpin/types';
import {failure, success} from '@lockpin/utils';

/** Every mechanism, with what happens without it. */
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
  holding: 'calls that find no slot are refused after one round of offers',
  quarantine: 'requests that end each upstream that runs them run again',
  'paid-retries': 'nothing pays for second attempts',
} as const;

/** One of the mechanisms. */
export type Mechanism = keyof typeof MECHANISMS;

/** Says of each mechanism whether it is on. */
export type MechanismSwitch = (mechanism: Mechanism) => boolean;

/** Reads a list of mechanisms joined by commas; names the first unknown one. */
export function readMechanisms(
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

/** The switch for a deployment that has some of them off. */
export function mechanismSwitch(
  switchedOff: readonly Mechanism[],
): MechanismSwitch {
  return (mechanism) => !switchedOff.includes(mechanism);
}
