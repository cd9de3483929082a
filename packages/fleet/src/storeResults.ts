// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Handles the results of calls to the store. */

import type {RandomSource} from '@lockpin/types';
import type {BoxLearning} from './boxLearning.js';
import type {ConfigurationLearning} from './configurationLearning.js';
import type {FleetAction, FleetEvent} from './fleetMessages.js';
import type {OwnBox} from './ownBox.js';
import type {RecordPage, RecordStream, StoreResult} from './recordStore.js';
import type {StoreAnswers} from './storeAnswers.js';
import type {StoreDuty} from './storeDuty.js';

/** The components that results are passed to. */
export interface StoreResultsContext {
  readonly answers: StoreAnswers;
  readonly duty: StoreDuty;
  readonly learning: ConfigurationLearning;
  readonly boxes: BoxLearning;
  readonly ownBox: OwnBox;
}

/** Checks the era of each answer, and dispatches it. */
export class StoreResults {
  constructor(private readonly context: StoreResultsContext) {}

  /** A read has ended. */
  readEnded(
    now: number,
    random: RandomSource,
    {stream, read, result}: FleetEvent & {readonly kind: 'read-ended'},
  ): readonly FleetAction[] {
    const {answers, duty: readerRole} = this.context;
    const checked = answers.check(now, stream, result);
    const end = {read, result: checked.result};
    return [
      ...checked.actions,
      ...readerRole.readEnded(now, random, stream, end),
      ...(end.result.ok ? this.dispatch(now, stream, end.result.value) : []),
    ];
  }

  /** A write of the own record has ended. */
  writeEnded(
    now: number,
    result: StoreResult<undefined>,
  ): readonly FleetAction[] {
    const {answers, ownBox: announcementHandler} = this.context;
    const checked = answers.check(now, 'write', result);
    return [
      ...checked.actions,
      ...announcementHandler.writeEnded(now, checked.result),
    ];
  }

  private dispatch(
    now: number,
    stream: RecordStream,
    page: RecordPage,
  ): readonly FleetAction[] {
    const {learning: configurationHandler, boxes} = this.context;
    return stream === 'configuration'
      ? configurationHandler.fromStore(now, page)
      : boxes.fromStore(now, page);
  }
}
