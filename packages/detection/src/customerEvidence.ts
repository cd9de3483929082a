// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Failures by customer, so that the bad calls of a single customer do not
 * condemn an upstream.
 */

import {FAILING_CUSTOMER_SHARE} from './peerBaseline.js';

/** Time constant of the decay: by then a call counts for about a third. */
const DECAY_MILLISECONDS = 5000;

/** Calls that must be seen before a customer is considered. */
const MINIMUM_CALLS = 3;

/** Share of failed calls at which a customer counts as affected. */
const AFFECTED_CUSTOMER_SHARE = 0.05;

interface Counts {
  calls: number;
  failed: number;
  decayedAt: number;
}

/** Keeps exponentially decaying counts of calls and failures by customer. */
export class CustomerEvidence {
  private readonly counts = new Map<string, Counts>();

  add(now: number, customer: string, failed: boolean): void {
    const counts = this.counts.get(customer) ?? {
      calls: 0,
      failed: 0,
      decayedAt: now,
    };
    decay(counts, now);
    counts.calls += 1;
    counts.failed += failed ? 1 : 0;
    this.counts.set(customer, counts);
  }

  /**
   * Whether the failures cannot be attributed to a single customer: at least
   * two customers are affected, or there is only one to observe.
   */
  isShared(now: number): boolean {
    const active = this.active(now);
    if (active.length < 2) {
      return true;
    }
    const failing = active.filter(
      ([, {calls, failed}]) => failed / calls >= AFFECTED_CUSTOMER_SHARE,
    );
    return failing.length >= 2;
  }

  /** Customers with a high share of failed calls. */
  failing(now: number): readonly string[] {
    return this.active(now)
      .filter(([, {calls, failed}]) => failed / calls >= FAILING_CUSTOMER_SHARE)
      .map(([customer]) => customer);
  }

  private active(now: number): readonly (readonly [string, Counts])[] {
    const active: (readonly [string, Counts])[] = [];
    for (const [customer, counts] of this.counts) {
      decay(counts, now);
      if (counts.calls >= MINIMUM_CALLS) {
        active.push([customer, counts]);
      } else if (counts.calls < MINIMUM_CALLS / 100) {
        this.counts.delete(customer);
      }
    }
    return active;
  }
}

function decay(counts: Counts, now: number): void {
  const factor = Math.exp((counts.decayedAt - now) / DECAY_MILLISECONDS);
  counts.calls *= factor;
  counts.failed *= factor;
  counts.decayedAt = now;
}
