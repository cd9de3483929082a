// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What every answer of the store is looked through for before it is believed. */

import type {Era} from '@lockpin/types';
import type {FleetAction} from './fleetMessages.js';
import {note} from './fleetNote.js';
import type {StoreFailure, StoreResult} from './recordStore.js';
import type {StoreDuty} from './storeDuty.js';
import {StoreEra} from './storeEra.js';
import type {EraFinding} from './storeEra.js';

/** In place of an answer that was given before a restore. */
const OUTDATED: StoreFailure = {
  kind: 'outcome-unknown',
  detail: 'answer of an earlier era',
};

/** A result as it may be believed. */
export interface CheckedResult<T> {
  readonly result: StoreResult<T>;
  readonly actions: readonly FleetAction[];
}

/** Notices restores: all is read anew then, and earlier answers change nothing. */
export class StoreAnswers {
  readonly era = new StoreEra();

  constructor(private readonly duty: StoreDuty) {}

  /** A node has noticed a restore. */
  heard(now: number, era: Era): readonly FleetAction[] {
    const finding = this.era.find(era);
    return finding.kind === 'restored'
      ? this.restored(now, finding, 'peer', [])
      : [];
  }

  /** Checks one answer; `subject` says what was asked. */
  check<T>(
    now: number,
    subject: string,
    result: StoreResult<T>,
  ): CheckedResult<T> {
    const finding = this.era.find(result.era);
    switch (finding.kind) {
      case 'same':
        return {result, actions: []};
      case 'first':
        return {result, actions: [note('store-era', String(finding.era), {})]};
      case 'restored': {
        const elsewhere = this.duty.readers
          .elsewhere()
          .map(({peerAddress}) => peerAddress);
        const actions = this.restored(now, finding, subject, elsewhere);
        return {result, actions};
      }
      case 'outdated': {
        const {era} = finding;
        const known = this.era.current ?? era;
        return {
          result: {ok: false, failure: OUTDATED, era},
          actions: [note('store-answer-outdated', subject, {era, known})],
        };
      }
    }
  }

  /** Reads of others may hang or wait on in the history that is gone: they are told. */
  private restored(
    now: number,
    {before, era}: EraFinding & {readonly kind: 'restored'},
    source: string,
    elsewhere: readonly string[],
  ): readonly FleetAction[] {
    this.duty.storeRestored(now);
    const news = {kind: 'store-restored', era} as const;
    return [
      note('store-restored', String(era), {before, source}),
      {kind: 'tell-followers', news},
      ...(elsewhere.length === 0
        ? []
        : [{kind: 'tell-nodes', addresses: elsewhere, news} as const]),
    ];
  }
}
