// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Load and reachability of each upstream as seen by one entry. */

import {FleetCapacity} from './fleetCapacity.js';
import {isRefusing} from './loadHint.js';
import type {AnnouncedState, LoadHint} from './loadHint.js';
import {DEFAULT_LINK_AVOIDANCE} from './linkAvoidance.js';
import {NoticeMemory} from './noticeMemory.js';
import {
  createUpstreamLoad,
  hintWeight,
  hintedOccupation,
  limitOccupation,
} from './upstreamLoad.js';
import type {UpstreamLoad} from './upstreamLoad.js';

/** Why an entry currently sends no calls to an upstream. */
export type UnusedReason =
  /** Its guard refuses ordinary calls. */
  | Exclude<AnnouncedState, 'accepting' | 'probation'>
  /** Its guard has no such upstream. */
  | 'missing'
  | 'unreachable'
  | 'full'
  /** Nothing keeps calls away, but the entry has sent none for a while. */
  | 'not-called';

/** An upstream without a hint or an open call for this long is not in use. */
const UNUSED_MILLISECONDS = 2000;

/** Total weight that a mean needs: about that of one recent hint. */
const MINIMUM_TOTAL_WEIGHT = 0.9;

/** Time for a slot to become free if calls take a few hundred milliseconds. */
const FULL_HINT_VALID_MILLISECONDS = 150;

/**
 * Mean time after which an entry calls a cold upstream again whatever its
 * estimated load. Several entries call each upstream, so that together they do
 * so more than once a second.
 */
const EXPLORATION_INTERVAL_MILLISECONDS = 2000;

/** First pause after a guard reported that it has no such upstream. */
const FIRST_MISSING_MILLISECONDS = 300;

/** The longest such pause. */
const LONGEST_MISSING_MILLISECONDS = 5000;

/** Pause after a refusal that did not state one. */
const REFUSED_PAUSE_MILLISECONDS = 500;

/** Tracks the loads of the upstreams that this entry has called. */
export class UpstreamLoads {
  /** The latest notices that reached this entry. */
  readonly notices = new NoticeMemory();
  /** The newest knowledge of the capacity of upstreams, of any source. */
  readonly capacity = new FleetCapacity();
  private readonly loads = new Map<string, UpstreamLoad>();

  constructor(private readonly avoidance = DEFAULT_LINK_AVOIDANCE) {}

  /** Counts a call sent to an upstream. */
  sent(upstream: string, isRetry = false): void {
    this.load(upstream).outstanding += 1;
    this.capacity.sent(upstream, isRetry);
  }

  /** Counts the end of a call, whatever its outcome. */
  ended(upstream: string): void {
    const load = this.load(upstream);
    load.outstanding = Math.max(0, load.outstanding - 1);
  }

  /** Records how a call that ran there, or may have run, ended. */
  recordOutcome(upstream: string, hasSucceeded: boolean): void {
    this.load(upstream).lastCallSucceeded = hasSucceeded;
  }

  /** Records a hint; the guard responded, so the link to it works. */
  hintReceived(upstream: string, now: number, hint: LoadHint): void {
    const load = this.load(upstream);
    load.hint = hint;
    load.hintedAt = now;
    load.linkFailures = 0;
    load.consecutiveMisses = 0;
    load.unreachableUntil = 0;
    const refuses = isRefusing(hint.state);
    const {doubtedFor, probeIn, availableIn = 0, notice} = hint;
    load.limitedUntil = now + availableIn;
    this.notices.hinted(upstream, notice);
    this.capacity.hinted(upstream, now, hint);
    const pause = doubtedFor ?? REFUSED_PAUSE_MILLISECONDS;
    load.refusesUntil = refuses ? now + pause : 0;
    load.refusesProbesUntil = refuses ? now + (probeIn ?? pause) : 0;
  }

  /**
   * The guard has no such upstream: its box has lost it, or has not received it
   * yet after a restart. It is tried again after exponentially growing pauses.
   * Reports on offers that were made before a pause do not prolong it.
   */
  reportedMissing(upstream: string, now: number, offeredAt = now): void {
    const load = this.load(upstream);
    if (now < load.refusesUntil || offeredAt < load.avoidedSince) {
      return;
    }
    const pause = Math.min(
      LONGEST_MISSING_MILLISECONDS,
      FIRST_MISSING_MILLISECONDS * 2 ** load.consecutiveMisses,
    );
    load.consecutiveMisses += 1;
    load.avoidedSince = now;
    load.refusesUntil = now + pause;
    load.refusesProbesUntil = now + pause;
  }

  /**
   * The guard did not respond. This tells about the link between entry and
   * guard, not about the upstream, so only this entry avoids it. Failures of
   * offers that were made before it was avoided do not count again, even if they
   * end later.
   */
  linkFailed(
    upstream: string,
    now: number,
    random: number,
    offeredAt = now,
  ): void {
    const load = this.load(upstream);
    if (now < load.unreachableUntil || offeredAt < load.avoidedSince) {
      return;
    }
    load.linkFailures += 1;
    const {avoidance} = this;
    const repeats = load.linkFailures - avoidance.failuresToAvoid;
    if (repeats < 0) {
      return;
    }
    const pause = Math.min(
      avoidance.longestAvoidanceMilliseconds,
      avoidance.firstAvoidanceMilliseconds * 2 ** repeats,
    );
    load.avoidedSince = now;
    load.unreachableUntil = now + pause * (0.5 + random);
  }

  /**
   * Whether this entry avoids an upstream for now. A repeatable call may be
   * used to probe a doubted upstream.
   */
  isAvoided(upstream: string, now: number, mayProbe = false): boolean {
    const load = this.loads.get(upstream);
    if (load === undefined) {
      return false;
    }
    const refuses = mayProbe ? load.refusesProbesUntil : load.refusesUntil;
    return Math.max(refuses, load.unreachableUntil) > now;
  }

  /**
   * Whether a cold upstream is to be called whatever its estimated load. Only a
   * call brings a hint, so an estimate alone could keep calls away. An upstream
   * where the last call failed is left to the ordinary choice.
   */
  isDueForExploration(upstream: string, now: number, random: number): boolean {
    const load = this.loads.get(upstream);
    if (load === undefined) {
      return true;
    }
    const {hint, hintedAt, outstanding, lastCallSucceeded} = load;
    if (outstanding > 0 || !lastCallSucceeded) {
      return false;
    }
    const interval = EXPLORATION_INTERVAL_MILLISECONDS * (0.5 + random);
    return hint === undefined || now - hintedAt > interval;
  }

  /**
   * Whether the guard recently reported that no slot is free, or that the limit
   * of the upstream allows no call yet.
   */
  isFull(upstream: string, now: number): boolean {
    const load = this.loads.get(upstream);
    const hint = load?.hint;
    if (load === undefined || hint === undefined) {
      return false;
    }
    if (load.limitedUntil > now) {
      return true;
    }
    const isFresh = now - load.hintedAt <= FULL_HINT_VALID_MILLISECONDS;
    return isFresh && hint.occupied >= hint.limit;
  }

  /** Milliseconds until its stated limit allows a call, as known here. */
  limitedFor(upstream: string, now: number): number {
    return Math.max(0, (this.loads.get(upstream)?.limitedUntil ?? 0) - now);
  }

  /** Open attempts of this entry there. */
  outstanding(upstream: string): number {
    return this.loads.get(upstream)?.outstanding ?? 0;
  }

  /** Why this entry sends no calls to an upstream; undefined if it does. */
  unusedReason(upstream: string, now: number): UnusedReason | undefined {
    const load = this.loads.get(upstream);
    if (load === undefined) {
      return 'not-called';
    }
    const {hint, hintedAt, outstanding, consecutiveMisses} = load;
    if (load.unreachableUntil > now) {
      return 'unreachable';
    }
    if (load.refusesUntil > now) {
      const state = hint?.state ?? 'accepting';
      return consecutiveMisses > 0 || !isRefusing(state) ? 'missing' : state;
    }
    if (this.isFull(upstream, now)) {
      return 'full';
    }
    const isUnused = outstanding === 0 && now - hintedAt > UNUSED_MILLISECONDS;
    return isUnused ? 'not-called' : undefined;
  }

  /** The latest hint of the guard with its age in milliseconds, for logs. */
  lastHint(
    upstream: string,
    now: number,
  ): {readonly hint: LoadHint; readonly age: number} | undefined {
    const load = this.loads.get(upstream);
    return load?.hint && {hint: load.hint, age: now - load.hintedAt};
  }

  /**
   * Expected occupation of an upstream, 1 when all its slots are taken. As its
   * hint ages, the estimate moves to the mean of the others: an upstream
   * without recent hints is not assumed to be idle.
   */
  occupation(upstream: string, slots: number, now: number, mean = 0): number {
    const load = this.loads.get(upstream);
    const hint = load?.hint;
    const limited = limitOccupation(load, now);
    if (load === undefined || hint === undefined) {
      return Math.max(mean, (load?.outstanding ?? 0) / slots);
    }
    const weight = hintWeight(load, now);
    const limit = Math.max(1, hint.limit * weight + slots * (1 - weight));
    const hinted = (hint.occupied * weight) / limit;
    const expected = hinted + mean * (1 - weight);
    return Math.max(load.outstanding / limit, expected, limited);
  }

  /** Mean occupation of some upstreams, weighted by the age of their hints. */
  meanOccupation(upstreams: readonly string[], now: number): number {
    let sum = 0;
    let weights = 0;
    for (const upstream of upstreams) {
      const load = this.loads.get(upstream);
      if (load?.hint?.state === 'accepting') {
        const weight = hintWeight(load, now);
        sum += hintedOccupation(load.hint) * weight;
        weights += weight;
      }
    }
    return weights > MINIMUM_TOTAL_WEIGHT ? sum / weights : 0;
  }

  /** Removes upstreams that are no longer configured and have no open calls. */
  retain(isKnown: (upstream: string) => boolean): void {
    for (const [name, load] of this.loads) {
      if (load.outstanding === 0 && !isKnown(name)) {
        this.loads.delete(name);
      }
    }
  }

  private load(upstream: string): UpstreamLoad {
    const existing = this.loads.get(upstream);
    if (existing !== undefined) {
      return existing;
    }
    const created = createUpstreamLoad();
    this.loads.set(upstream, created);
    return created;
  }
}
