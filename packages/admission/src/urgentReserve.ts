// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Keeps slots for urgent calls that find none, in an upstream that is kept busy
 * by less urgent calls that take long. A queue by priority is not enough then:
 * urgent calls with a short goal are refused before a long call ends.
 */

/** Time constant of the load that is offered, in milliseconds. */
const LOAD_MILLISECONDS = 1000;

/** Slots are kept for this long after an urgent call found none. */
const KEPT_MILLISECONDS = 2000;

interface PriorityLoad {
  /** Slots that the calls of the priority need. */
  slots: number;
  countedAt: number;
  /** When a call of the priority last found no free slot. */
  lackedAt: number;
}

/** Estimates how many slots the calls of each priority need. */
export class UrgentReserve {
  private readonly loads = new Map<number, PriorityLoad>();

  /**
   * Records a call that is offered.
   * @param duration Its expected duration in milliseconds.
   * @param hasSlot Whether a slot is free.
   */
  offered(
    now: number,
    priority: number,
    duration: number,
    hasSlot: boolean,
  ): void {
    const known = this.loads.get(priority);
    const slots =
      (known === undefined ? 0 : slotsAt(known, now)) +
      duration / LOAD_MILLISECONDS;
    const lackedAt = hasSlot
      ? (known?.lackedAt ?? Number.NEGATIVE_INFINITY)
      : now;
    this.loads.set(priority, {slots, countedAt: now, lackedAt});
  }

  /**
   * Slots that calls of a priority leave to more urgent ones. One slot always
   * remains, so that no kind of call is kept out entirely.
   */
  reservedFrom(now: number, priority: number, limit: number): number {
    let slots = 0;
    let isLacking = false;
    for (const [other, load] of this.loads) {
      if (other < priority) {
        slots += slotsAt(load, now);
        isLacking ||= now - load.lackedAt <= KEPT_MILLISECONDS;
      }
    }
    return isLacking ? Math.max(0, Math.min(limit - 1, Math.ceil(slots))) : 0;
  }
}

function slotsAt({slots, countedAt}: PriorityLoad, now: number): number {
  return slots * Math.exp((countedAt - now) / LOAD_MILLISECONDS);
}
