// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detection time, false ejections and floor violations of one run. */

import type {GuardAction} from '@lockpin/brain';
import type {Fault, MeasuredService} from './scenarios.js';

/** Start of the fault, in milliseconds of virtual time. */
export const FAULT_START_MILLISECONDS = 10_000;

/** Index of the faulty upstream when the fault is not shared. */
export const FAULTY_INDEX = 0;

/** True if the fault affects all upstreams. */
export function isSharedFault({kind}: Fault): boolean {
  return kind === 'shared-slowness' || kind === 'outage';
}

/** Classifies ejections as detections or false, and records timeline events. */
export class EjectionTally {
  /** Milliseconds from fault to detection; undefined if not detected. */
  detection: number | undefined;
  /** Ejections of healthy upstreams. */
  falseEjections = 0;
  /** Timeline events after which fewer slots than the floor were in service. */
  floorBroken = 0;
  readonly events: string[] = [];
  private readonly ejectedNames = new Set<string>();

  constructor(
    private readonly service: MeasuredService,
    private readonly fault: Fault,
    private readonly upstreamNames: readonly string[],
  ) {}

  /** Records a guard's timeline event and updates the counts. */
  observe(
    now: number,
    upstream: number,
    {event, detail}: GuardAction & {readonly kind: 'timeline'},
  ): void {
    const name = this.upstreamNames[upstream] ?? '';
    const seconds = (now / 1000).toFixed(2);
    const details = Object.entries(detail).map(([k, v]) => `${k}=${v}`);
    this.events.push([seconds, event, name, ...details].join(' '));
    if (event === 'upstream-ejected') {
      this.ejectedNames.add(name);
      this.recordEjection(now, upstream);
    } else if (
      event === 'upstream-returned' ||
      event === 'upstream-permit-revoked'
    ) {
      this.ejectedNames.delete(name);
    }
    const {slots, upstreams, floorSlots} = this.service;
    const availableSlots = (upstreams - this.ejectedNames.size) * slots;
    this.floorBroken += availableSlots < floorSlots ? 1 : 0;
  }

  /** Counts an ejection by a guard or by a baseline detector. */
  recordEjection(now: number, upstream: number): void {
    const {fault} = this;
    const isFaulty =
      fault.kind !== 'none' &&
      !isSharedFault(fault) &&
      upstream === FAULTY_INDEX;
    if (isFaulty && now >= FAULT_START_MILLISECONDS) {
      this.detection ??= now - FAULT_START_MILLISECONDS;
    } else {
      this.falseEjections += 1;
    }
  }
}
