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
  'common-rejections':
    'upstreams are doubted for rejections that most of their service share',
  'suspect-limit': 'upstreams under suspicion announce all of their slots',
  'near-first': 'another data centre is as good as the own',
  'overdue-replacement': 'calls that take too long are not sent elsewhere',
  'late-offers': 'calls are not offered once their answer would be late',
  exploration: 'cold upstreams get no call while others look less busy',
  holding: 'calls that find no slot are refused after one round of offers',
  quarantine: 'requests that end each upstream that runs them run again',
  'burst-credit': 'customers with few calls wait for their turn among floods',
  'queue-review': 'calls that can no longer be in time wait on for a while',
  'nested-calls':
    'nested calls have the priority and deadline that their own request states',
  'nested-busy': 'calls start though services that they call are full',
  'shared-capacity':
    'entries know upstreams only by the replies to their own calls',
  'planned-offers':
    'offers go out before it is known whether an upstream has a free slot',
  'bounded-holding': 'calls without a slot are held for 0.45 of their time',
  'spread-returns': 'calls refused together are told to come back together',
  'funded-retries':
    'second attempts go to guards that are known to have no retries left',
  'paid-retries': 'nothing pays for second attempts',
  'rejection-limit':
    'calls that an upstream rejects do not change its limit of running calls',
  'strict-budget':
    'retries keep their budget in windows that end with a retry, not in all',
  'urgent-retries': 'the last retries go to whichever call asks first',
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
