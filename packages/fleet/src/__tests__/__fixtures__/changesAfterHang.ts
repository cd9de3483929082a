// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Confirms changes after the store hung, in a fleet with other faults. */

import {seededRandom} from '@lockpin/utils';
import type {RandomSource} from '@lockpin/types';
import {FleetSimulation} from './fleetSimulation.js';
import type {FleetSize} from './fleetSimulation.js';

/** A confirmed change is in force everywhere within this time. */
const CONFIGURATION_MILLISECONDS = 2000;

/** Boxes are bound to that again this long after a fault began or ended. */
const CONTACT_MILLISECONDS = 3000;

const CHANGE_COUNT = 5;
const BETWEEN_CHANGES_MILLISECONDS = 62;

/** Size of a fleet without its seed. */
export type Size = Omit<FleetSize, 'seed'>;

/** Injects the faults that a case is about into a running fleet. */
export type InjectFaults = (
  fleet: FleetSimulation,
  random: RandomSource,
) => void;

/** A box at which the last change came into force late. */
export interface LateBox {
  readonly seed: number;
  readonly box: string;
  readonly milliseconds: number;
}

/** The boxes at which the last change after a hang came into force late. */
export function lateBoxes(
  size: Size,
  seed: number,
  injectFaults: InjectFaults,
): readonly LateBox[] {
  const random = seededRandom(seed * 7919);
  const fleet = new FleetSimulation({...size, seed});
  fleet.run(10_000 + random() * 8000);
  injectFaults(fleet, random);
  const faultsAt = fleet.elapsed;
  fleet.run(random() < 0.5 ? random() * 2000 : 8000 + random() * 8000);
  fleet.hangStore();
  fleet.run(100 + random() * 3400);
  fleet.resumeStore();
  const resumedAt = fleet.elapsed;
  fleet.run(random() * 500);
  let confirmedAt = 0;
  for (let version = 2; version < 2 + CHANGE_COUNT; version += 1) {
    fleet.publish(version);
    confirmedAt = fleet.elapsed;
    fleet.run(BETWEEN_CHANGES_MILLISECONDS);
  }
  const dueAt = Math.max(
    confirmedAt + CONFIGURATION_MILLISECONDS,
    resumedAt + CONTACT_MILLISECONDS,
    faultsAt + CONTACT_MILLISECONDS,
  );
  fleet.run(Math.max(0, dueAt - fleet.elapsed));
  const newest = 1 + CHANGE_COUNT;
  const late = fleet.running().filter((box) => fleet.versionAt(box) !== newest);
  fleet.runUntil(() => late.every((box) => fleet.versionAt(box) === newest));
  const milliseconds = Math.round(fleet.elapsed - dueAt);
  return late.map((box) => ({seed, box, milliseconds}));
}
