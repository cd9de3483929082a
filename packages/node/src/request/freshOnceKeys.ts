// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Mints once keys for callers. */

import type {ServiceView} from '@lockpin/configuration';
import {mintOnceKey} from '@lockpin/once';
import type {Refusal} from '@lockpin/types';
import type {CallerRequest} from './callerRequest.js';
import type {EntryServiceDependencies} from './entryServiceDependencies.js';

type KeyDependencies = Pick<
  EntryServiceDependencies,
  'stateMachine' | 'clock' | 'random' | 'incarnation'
>;

/** Mints a key bound to the home of an upstream that accepts calls now. */
export function mintOnceKeyFor(
  {stateMachine, clock, random, incarnation}: KeyDependencies,
  view: ServiceView,
): string | undefined {
  const now = clock();
  const chosen = stateMachine.chooseFor(now, random, {view});
  const process = chosen && incarnation(chosen.box);
  return chosen && process
    ? mintOnceKey(now, random, {box: chosen.box, incarnation: process})
    : undefined;
}

/** A new key for a once-only call that has not run and may be retried. */
export function freshKeyHeader(
  dependencies: KeyDependencies,
  {onceKey, view}: CallerRequest,
  {outcome}: Refusal,
): Readonly<Record<string, string>> {
  if (onceKey === undefined || outcome !== 'not-run') {
    return {};
  }
  const key = mintOnceKeyFor(dependencies, view);
  return key === undefined ? {} : {'lockpin-fresh-once-key': key};
}
