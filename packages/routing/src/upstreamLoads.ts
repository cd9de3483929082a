// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Load and reachability of each upstream as seen by one entry. */

import {FleetCapacity} from './fleetCapacity.js';
import {isRefusing} from './loadHint.js';
import type {LoadHint} from './loadHint.js';
import {DEFAULT_LINK_AVOIDANCE} from './linkAvoidance.js';
import {NoticeMemory} from './noticeMemory.js';
import {isFull, unusedReason} from './unusedReason.js';
import type {UnusedReason} from './unusedReason.js';
import {avoidMissing, avoidSilent, isAvoided} from './upstreamAvoidance.js';
import {
  createUpstreamLoad,
  hintedOccupation,
  limitOccupation,
  reportWeight,
} from './upstreamLoad.js';
import type {UpstreamLoad} from './upstreamLoad.js';

/** Total weight that a mean needs: about that of one recent hint. */
const MINIMUM_TOTAL_WEIGHT = 0.9;

/**
 * Mean time after which an entry calls a cold upstream again whatever its
 * estimated load. Several entries call each upstream, so that together they do
 * so more than once a second.
 */
const EXPLORATION_INTERVAL_MILLISECONDS = 2000;

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
    const {doubtedFor, probeIn, notice} = hint;
    const {availableIn = 0, fallbackFor = 0} = hint;
    load.fallbackUntil = now + fallbackFor;
    load.limitedUntil = now + availableIn;
    this.notices.hinted(upstream, notice);
    this.capacity.hinted(upstream, now, hint);
    const pause =
      doubtedFor ?? Math.max(REFUSED_PAUSE_MILLISECONDS, fallbackFor);
    load.refusesUntil = refuses ? now + pause : 0;
    load.refusesProbesUntil = refuses ? now + (probeIn ?? pause) : 0;
  }

  /** The guard has no such upstream. */
  reportedMissing(upstream: string, now: number, offeredAt = now): void {
    avoidMissing(this.load(upstream), now, offeredAt);
  }

  /**
   * The guard did not respond. This tells about the link between entry and
   * guard, not about the upstream, so only this entry avoids it.
   */
  linkFailed(
    upstream: string,
    now: number,
    random: number,
    offeredAt = now,
  ): void {
    const load = this.load(upstream);
    avoidSilent(load, this.avoidance, now, random, offeredAt);
  }

  /** Whether this entry avoids an upstream, also for a probe if it may probe. */
  isAvoided(upstream: string, now: number, mayProbe = false): boolean {
    const load = this.loads.get(upstream);
    return load !== undefined && isAvoided(load, now, mayProbe);
  }

  /**
   * Whether an upstream whose node is stopping takes a call that ends within some
   * milliseconds.
   */
  isFallback(upstream: string, now: number, milliseconds: number): boolean {
    const load = this.loads.get(upstream);
    return (
      load !== undefined &&
      now + milliseconds < load.fallbackUntil &&
      now >= load.unreachableUntil
    );
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

  /** Whether no slot is free there, or its limit allows no call yet. */
  isFull(upstream: string, now: number): boolean {
    const load = this.loads.get(upstream);
    return load !== undefined && isFull(load, now);
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
    return load === undefined ? 'not-called' : unusedReason(load, now);
  }

  /** The latest hint of the guard with its age in milliseconds. */
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
    const weight = reportWeight(load.hintedAt, now);
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
        const weight = reportWeight(load.hintedAt, now);
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
