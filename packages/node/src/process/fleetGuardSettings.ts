// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Guard settings of a declared fleet. */

import {RejectionLimit} from '@lockpin/admission';
import type {CreateConcurrencyLimit} from '@lockpin/admission';
import {DEFAULT_GUARD_SETTINGS} from '@lockpin/brain';
import type {GuardSettings} from '@lockpin/brain';
import {NO_RETRIES} from '@lockpin/routing';
import type {MechanismSwitch} from './mechanisms.js';

/**
 * A customer that has used less than others may have as many calls served ahead
 * of its turn as the upstream runs at once: they would have found free slots.
 */
const burstCalls = (slots: number): number => slots;

const createLimit: CreateConcurrencyLimit = (slots, isCold) =>
  new RejectionLimit(slots, isCold);

/**
 * Returns the settings of guards that reserve slots for entries and budget
 * retries.
 */
export function fleetGuardSettings(
  isOn: MechanismSwitch,
  fleet: Pick<
    GuardSettings,
    | 'createRetryBudget'
    | 'heldUpCalls'
    | 'areRejectionsCommon'
    | 'quarantinedFor'
  >,
): GuardSettings {
  return {
    ...DEFAULT_GUARD_SETTINGS,
    hasQuickDoubt: isOn('quick-doubt'),
    hasHangEvidence: isOn('hang-evidence'),
    heldUpCalls: fleet.heldUpCalls,
    ...(isOn('common-rejections') && {
      areRejectionsCommon: fleet.areRejectionsCommon,
    }),
    quarantinedFor: fleet.quarantinedFor,
    isCautious: isOn('caution'),
    excusesFailures: isOn('excused-failures'),
    doubtReleasesQueue: isOn('queue-release'),
    limitsSuspects: isOn('suspect-limit'),
    tracksNestedCalls: isOn('nested-calls'),
    refusesBusyParents: isOn('nested-calls') && isOn('nested-busy'),
    admission: {
      ...(isOn('rejection-limit') && {createLimit}),
      ...(isOn('burst-credit') && {burstCallsFor: burstCalls}),
      removesHopeless: isOn('queue-review'),
    },
    announcesCapacity: isOn('shared-capacity'),
    createRetryBudget: isOn('paid-retries')
      ? fleet.createRetryBudget
      : () => NO_RETRIES,
    // Once an upstream drains, no further call may reach it.
    drainFinishesQueue: false,
  };
}
