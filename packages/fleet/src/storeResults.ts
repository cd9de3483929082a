// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What follows from the ends of calls to the store. */

import type {RandomSource} from '@lockpin/types';
import type {BoxLearning} from './boxLearning.js';
import type {ConfigurationLearning} from './configurationLearning.js';
import type {FleetAction, FleetEvent} from './fleetMessages.js';
import type {OwnBox} from './ownBox.js';
import type {RecordPage, RecordStream, StoreResult} from './recordStore.js';
import type {StoreAnswers} from './storeAnswers.js';
import type {StoreDuty} from './storeDuty.js';

/** Who takes what the store says. */
export interface StoreResultsContext {
  readonly answers: StoreAnswers;
  readonly duty: StoreDuty;
  readonly learning: ConfigurationLearning;
  readonly boxes: BoxLearning;
  readonly ownBox: OwnBox;
}

/** Believes each answer as far as its era allows, and hands it on. */
export class StoreResults {
  constructor(private readonly context: StoreResultsContext) {}

  /** A read has ended. */
  readEnded(
    now: number,
    random: RandomSource,
    {stream, read, result}: FleetEvent & {readonly kind: 'read-ended'},
  ): readonly FleetAction[] {
    const {answers, duty} = this.context;
    const checked = answers.check(now, stream, result);
    const end = {read, result: checked.result};
    return [
      ...checked.actions,
      ...duty.readEnded(now, random, stream, end),
      ...(end.result.ok ? this.take(now, stream, end.result.value) : []),
    ];
  }

  /** A write of the own record has ended. */
  writeEnded(
    now: number,
    result: StoreResult<undefined>,
  ): readonly FleetAction[] {
    const {answers, ownBox} = this.context;
    const checked = answers.check(now, 'write', result);
    return [...checked.actions, ...ownBox.writeEnded(now, checked.result)];
  }

  private take(
    now: number,
    stream: RecordStream,
    page: RecordPage,
  ): readonly FleetAction[] {
    const {learning, boxes} = this.context;
    return stream === 'configuration'
      ? learning.fromStore(now, page)
      : boxes.fromStore(now, page);
  }
}
