// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Spreads the calls of a route over services, each by its weight. */

import type {RandomSource} from '@lockpin/types';
import type {Destination} from './declaredConfiguration.js';

/**
 * Smooth weighted round robin: any run of calls keeps the shares to within one
 * call, which dice would only do on average. The start is random, so that
 * entries that start together do not send their first calls to one place.
 */
export class WeightedSpread {
  private readonly credits: number[];
  private readonly total: number;

  constructor(
    readonly destinations: readonly Destination[],
    random: RandomSource,
  ) {
    this.total = destinations.reduce((sum, {weight}) => sum + weight, 0);
    this.credits = destinations.map(() => 0);
    const skipped = Math.floor(random() * this.total);
    for (let i = 0; i < Math.min(skipped, MOST_SKIPPED); i += 1) {
      this.next();
    }
  }

  /** The service of the next call. */
  next(): string {
    let chosen = 0;
    this.destinations.forEach(({weight}, i) => {
      this.credits[i] = (this.credits[i] ?? 0) + weight;
      if ((this.credits[i] ?? 0) > (this.credits[chosen] ?? 0)) {
        chosen = i;
      }
    });
    this.credits[chosen] = (this.credits[chosen] ?? 0) - this.total;
    return this.destinations[chosen]?.service ?? '';
  }
}

/** Calls passed over at the start, at the most: a full turn of percentages. */
const MOST_SKIPPED = 100;
