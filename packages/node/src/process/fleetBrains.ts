// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The brains of a node in a declared fleet, as its settings want them. */

import {EntryBrain, GuardBrain} from '@lockpin/brain';
import type {EntrySettings} from '@lockpin/brain';
import {FleetBrain, longestReadFor} from '@lockpin/fleet';
import type {ReadConfiguration} from '@lockpin/fleet';
import {fleetEntrySettings} from './fleetEntrySettings.js';
import {fleetGuardSettings} from './fleetGuardSettings.js';
import type {FleetNodeSettings} from './fleetPorts.js';
import {fleetRetryBudget} from './fleetRetryBudget.js';
import {mechanismSwitch} from './mechanisms.js';

/** What the brains of calls go by. */
export interface CallBrainsContext {
  readonly fleet: FleetBrain;
  /** Identity of this process. */
  readonly incarnation: string;
  readonly startedAt: number;
  /** As they are now; the rest is as it was at the start. */
  readonly settings: () => FleetNodeSettings;
}

/** Both ends of a call on one box. */
export interface CallBrains {
  readonly guard: GuardBrain;
  readonly entry: EntryBrain;
}

/** Makes the brain that knows the fleet. */
export function createFleetBrain(
  settings: FleetNodeSettings,
  readConfiguration: ReadConfiguration,
): FleetBrain {
  const {box, dataCentre, peerAddress} = settings;
  return new FleetBrain({box, dataCentre, peerAddress}, readConfiguration, {
    isFirst: settings.isFirstStart,
    dataCentres: settings.dataCentres,
    longestRead: longestReadFor(settings.keys),
  });
}

/** Makes the brains of calls; the guard goes by how the entry's calls are held up. */
export function createCallBrains(context: CallBrainsContext): CallBrains {
  const {box, dataCentre, switchedOff} = context.settings();
  const isOn = mechanismSwitch(switchedOff);
  const quarantinedFor = isOn('quarantine')
    ? (now: number, digest: string) =>
        context.fleet.suspects.remaining(now, digest)
    : () => 0;
  const entry = new EntryBrain(
    box,
    dataCentre,
    {isUsable: () => true, incarnation: () => undefined},
    fleetEntrySettings(isOn, {quarantinedFor}),
  );
  return {entry, guard: createGuard(context, entry, quarantinedFor)};
}

function createGuard(
  {fleet, incarnation, startedAt, settings}: CallBrainsContext,
  entry: EntryBrain,
  quarantinedFor: EntrySettings['quarantinedFor'],
): GuardBrain {
  const {box, isFirstStart, switchedOff} = settings();
  return new GuardBrain(
    {box, incarnation},
    fleetGuardSettings(mechanismSwitch(switchedOff), {
      createRetryBudget: (service) =>
        fleetRetryBudget({
          startedAt,
          isFirstStart,
          retries: () => settings().retries,
          upstreams: () => fleet.directory.countOf(service),
        }),
      heldUpCalls: () => entry.heldUpCalls,
      quarantinedFor,
    }),
  );
}
