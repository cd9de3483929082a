// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Distributes the calls of a route over services by weight. */

import type {RandomSource} from '@lockpin/types';
import type {Destination} from './declaredConfiguration.js';

/**
 * Smooth weighted round robin: the shares of any run of calls are exact to
 * within one call, while random choice meets them only on average. The starting
 * point is random, so that entries that start together do not send their first
 * calls to the same service.
 */
export class WeightedRoundRobin {
  private readonly credits: number[];
  private readonly total: number;

  constructor(
    readonly destinations: readonly Destination[],
    random: RandomSource,
  ) {
    this.total = destinations.reduce((sum, {weight}) => sum + weight, 0);
    this.credits = destinations.map(() => 0);
    const skipped = Math.floor(random() * this.total);
    for (let i = 0; i < Math.min(skipped, MAXIMUM_SKIPPED); i += 1) {
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

/**
 * Maximum number of calls skipped at the start: a full cycle of percentages.
 */
const MAXIMUM_SKIPPED = 100;
