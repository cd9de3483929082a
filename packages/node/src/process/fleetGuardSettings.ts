// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How the guards of a declared fleet treat calls. */

import {DEFAULT_GUARD_SETTINGS} from '@lockpin/brain';
import type {GuardSettings} from '@lockpin/brain';
import {NO_RETRIES} from '@lockpin/routing';
import type {MechanismSwitch} from './mechanisms.js';

/** The settings of a guard that keeps slots for entries and pays for retries. */
export function fleetGuardSettings(
  isOn: MechanismSwitch,
  fleet: Pick<
    GuardSettings,
    'createRetryBudget' | 'heldUpCalls' | 'quarantinedFor'
  >,
): GuardSettings {
  return {
    ...DEFAULT_GUARD_SETTINGS,
    hasQuickDoubt: isOn('quick-doubt'),
    hasHangEvidence: isOn('hang-evidence'),
    heldUpCalls: fleet.heldUpCalls,
    quarantinedFor: fleet.quarantinedFor,
    isCautious: isOn('caution'),
    excusesFailures: isOn('excused-failures'),
    doubtReleasesQueue: isOn('queue-release'),
    limitsSuspects: isOn('suspect-limit'),
    createRetryBudget: isOn('paid-retries')
      ? fleet.createRetryBudget
      : () => NO_RETRIES,
    // A drain promises that nothing more reaches the upstream.
    drainFinishesQueue: false,
  };
}
