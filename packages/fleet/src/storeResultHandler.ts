// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Handles the results of calls to the store. */

import type {RandomSource} from '@lockpin/types';
import type {BoxRecordHandler} from './boxRecordHandler.js';
import type {ConfigurationHandler} from './configurationHandler.js';
import type {FleetAction, FleetEvent} from './fleetMessages.js';
import type {AnnouncementHandler} from './announcementHandler.js';
import type {RecordPage, RecordStream, StoreResult} from './recordStore.js';
import type {StoreEraCheck} from './storeEraCheck.js';
import type {StoreReaderRole} from './storeReaderRole.js';

/** The components that results are passed to. */
export interface StoreResultHandlerContext {
  readonly answers: StoreEraCheck;
  readonly readerRole: StoreReaderRole;
  readonly configurationHandler: ConfigurationHandler;
  readonly boxes: BoxRecordHandler;
  readonly announcementHandler: AnnouncementHandler;
}

/** Checks the era of each answer, and dispatches it. */
export class StoreResultHandler {
  constructor(private readonly context: StoreResultHandlerContext) {}

  /** A read has ended. */
  readEnded(
    now: number,
    random: RandomSource,
    {stream, read, result}: FleetEvent & {readonly kind: 'read-ended'},
  ): readonly FleetAction[] {
    const {answers: eraCheck, readerRole} = this.context;
    const checked = eraCheck.check(now, stream, result);
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
    const {answers: eraCheck, announcementHandler} = this.context;
    const checked = eraCheck.check(now, 'write', result);
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
    const {configurationHandler, boxes} = this.context;
    return stream === 'configuration'
      ? configurationHandler.fromStore(now, page)
      : boxes.fromStore(now, page);
  }
}
