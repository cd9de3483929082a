// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Once keys that an entry mints for its callers. */

import type {ServiceView} from '@lockpin/configuration';
import {mintOnceKey} from '@lockpin/once';
import type {Refusal} from '@lockpin/types';
import type {CallerRequest} from './callerRequest.js';
import type {EntryServiceDependencies} from './entryServiceDependencies.js';

type KeyMeans = Pick<
  EntryServiceDependencies,
  'brain' | 'clock' | 'random' | 'incarnation'
>;

/** A key bound to the home of an upstream that takes calls now. */
export function mintKeyFor(
  {brain, clock, random, incarnation}: KeyMeans,
  view: ServiceView,
): string | undefined {
  const now = clock();
  const chosen = brain.chooseFor(now, random, {view});
  const process = chosen && incarnation(chosen.box);
  return chosen && process
    ? mintOnceKey(now, random, {box: chosen.box, incarnation: process})
    : undefined;
}

/** A once-only call that has not run may be sent again under a new key. */
export function freshKeyHeader(
  means: KeyMeans,
  {onceKey, view}: CallerRequest,
  {outcome}: Refusal,
): Readonly<Record<string, string>> {
  if (onceKey === undefined || outcome !== 'not-run') {
    return {};
  }
  const key = mintKeyFor(means, view);
  return key === undefined ? {} : {'lockpin-fresh-once-key': key};
}
