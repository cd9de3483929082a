// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Creates the state machines of a node in a declared fleet from its settings.
 */

import {EntryStateMachine, GuardStateMachine} from '@lockpin/brain';
import type {EntrySettings} from '@lockpin/brain';
import {FleetStateMachine, maximumReadFor} from '@lockpin/fleet';
import type {ReadConfiguration} from '@lockpin/fleet';
import {fleetEntrySettings} from './fleetEntrySettings.js';
import {fleetGuardSettings} from './fleetGuardSettings.js';
import type {FleetNodeSettings} from './fleetPorts.js';
import {fleetRetryBudget} from './fleetRetryBudget.js';
import {mechanismSwitch} from './mechanisms.js';

/** Dependencies of the state machines of calls. */
export interface CallStateMachinesContext {
  readonly fleet: FleetStateMachine;
  /** Identity of this process. */
  readonly incarnation: string;
  readonly startedAt: number;
  /** Returns the current settings; only some are applied after the start. */
  readonly settings: () => FleetNodeSettings;
}

/** The state machines of both ends of a call on one box. */
export interface CallStateMachines {
  readonly guard: GuardStateMachine;
  readonly entry: EntryStateMachine;
}

/** Creates the state machine that tracks the fleet. */
export function createFleetStateMachine(
  settings: FleetNodeSettings,
  readConfiguration: ReadConfiguration,
): FleetStateMachine {
  const {box, dataCentre, peerAddress} = settings;
  return new FleetStateMachine(
    {box, dataCentre, peerAddress},
    readConfiguration,
    {
      isFirstStart: settings.isFirstStart,
      dataCentres: settings.dataCentres,
      maximumReadMilliseconds: maximumReadFor(settings.keys),
    },
  );
}

/**
 * Creates the state machines of calls; the guard reads the delayed calls of the
 * entry.
 */
export function createCallStateMachines(
  context: CallStateMachinesContext,
): CallStateMachines {
  const {box, dataCentre, switchedOff} = context.settings();
  const isOn = mechanismSwitch(switchedOff);
  const quarantinedFor = isOn('quarantine')
    ? (now: number, digest: string) =>
        context.fleet.suspects.remaining(now, digest)
    : () => 0;
  const entry = new EntryStateMachine(
    box,
    dataCentre,
    {isUsable: () => true, incarnation: () => undefined},
    fleetEntrySettings(isOn, {
      quarantinedFor,
      ownHint: (now, upstream) => guard.hintOf(now, upstream),
    }),
  );
  const guard = createGuard(context, entry, quarantinedFor);
  return {entry, guard};
}

function createGuard(
  {fleet, incarnation, startedAt, settings}: CallStateMachinesContext,
  entry: EntryStateMachine,
  quarantinedFor: EntrySettings['quarantinedFor'],
): GuardStateMachine {
  const {box, isFirstStart, switchedOff} = settings();
  const isOn = mechanismSwitch(switchedOff);
  return new GuardStateMachine(
    {box, incarnation},
    fleetGuardSettings(isOn, {
      createRetryBudget: (service) =>
        fleetRetryBudget({
          isOn,
          startedAt,
          isFirstStart,
          retries: () => settings().retries,
          upstreams: () => fleet.directory.countOf(service),
        }),
      heldUpCalls: () => entry.delayedCallCount,
      areRejectionsCommon: (now, service) =>
        entry.loads.capacity.areRejectionsCommon(service, now),
      quarantinedFor,
    }),
  );
}
