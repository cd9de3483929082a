// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Checks the era of every answer of the store before it is used. */

import type {Era} from '@lockpin/types';
import type {FleetAction} from './fleetMessages.js';
import {logEvent} from './logEvent.js';
import type {StoreFailure, StoreResult} from './recordStore.js';
import type {StoreReaderRole} from './storeReaderRole.js';
import {StoreEra} from './storeEra.js';
import type {EraComparison} from './storeEra.js';

/** Replaces an answer given before a restore. */
const OUTDATED_ANSWER: StoreFailure = {
  kind: 'outcome-unknown',
  detail: 'answer from an era before the last restore',
};

/** A result that may be used, and the actions that follow from its era. */
export interface CheckedResult<T> {
  readonly result: StoreResult<T>;
  readonly actions: readonly FleetAction[];
}

/**
 * Detects restores: everything is then read again, and earlier answers are
 * ignored.
 */
export class StoreEraCheck {
  readonly era = new StoreEra();

  constructor(private readonly readerRole: StoreReaderRole) {}

  /** Another node detected a restore. */
  eraReported(now: number, era: Era): readonly FleetAction[] {
    const comparison = this.era.compare(era);
    return comparison.kind === 'restored'
      ? this.handleRestore(now, comparison, 'peer', [])
      : [];
  }

  /** Checks one answer; `subject` names the call. */
  check<T>(
    now: number,
    subject: string,
    result: StoreResult<T>,
  ): CheckedResult<T> {
    const comparison = this.era.compare(result.era);
    switch (comparison.kind) {
      case 'same':
        return {result, actions: []};
      case 'first':
        return {
          result,
          actions: [logEvent('store-era', String(comparison.era), {})],
        };
      case 'restored': {
        const remoteReaders = this.readerRole.readers
          .remoteReaders()
          .map(({peerAddress}) => peerAddress);
        const actions = this.handleRestore(
          now,
          comparison,
          subject,
          remoteReaders,
        );
        return {result, actions};
      }
      case 'outdated': {
        const {era} = comparison;
        const known = this.era.current ?? era;
        return {
          result: {ok: false, failure: OUTDATED_ANSWER, era},
          actions: [logEvent('store-answer-outdated', subject, {era, known})],
        };
      }
    }
  }

  /**
   * Pending reads of other nodes may hang or wait in the discarded history, so
   * they are notified.
   */
  private handleRestore(
    now: number,
    {before, era}: EraComparison & {readonly kind: 'restored'},
    source: string,
    remoteReaders: readonly string[],
  ): readonly FleetAction[] {
    this.readerRole.storeRestored(now);
    const update = {kind: 'store-restored', era} as const;
    return [
      logEvent('store-restored', String(era), {before, source}),
      {kind: 'notify-followers', news: update},
      ...(remoteReaders.length === 0
        ? []
        : [
            {
              kind: 'notify-nodes',
              addresses: remoteReaders,
              news: update,
            } as const,
          ]),
    ];
  }
}
