// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Seeded random numbers for tests, measurements and replays. */

import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import type {RandomSource} from '@lockpin/types';

const STEPS = 2 ** 31;

/** Creates a source whose sequence depends on the seed alone. */
export function seededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, STEPS - 1, generator) / STEPS;
}
