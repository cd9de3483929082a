// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Makes the calls to the store that the fleet's control wants made. */

import type {
  FleetAction,
  FleetEvent,
  RecordPage,
  RecordStore,
  StoreResult,
  StoredRecord,
  StreamRead,
} from '@lockpin/fleet';
import type {DecisionLog} from './decisionLog.js';

/** An action that is a call to the store. */
export type StoreAction = FleetAction & {
  readonly kind:
    'read-newest' | 'follow' | 'write' | 'drop-record' | 'write-for';
};

/** Tells the control how each call ended. */
export class FleetStoreCalls {
  constructor(
    private readonly store: RecordStore,
    private readonly log: DecisionLog,
    private readonly tell: (event: FleetEvent) => void,
  ) {}

  /** Makes one call. */
  perform(action: StoreAction): void {
    const {store} = this;
    switch (action.kind) {
      case 'read-newest':
        this.whenRead(action, store.readNewest(action.stream));
        break;
      case 'follow':
        this.whenRead(
          action,
          store.follow(action.stream, action.from, action.waitMilliseconds),
        );
        break;
      case 'write':
        void this.write(action.record);
        break;
      case 'drop-record':
        void this.drop(action.key);
        break;
      case 'write-for':
        void this.writeFor(action.record);
        break;
    }
  }

  private async write(record: StoredRecord): Promise<void> {
    const result = await this.store.write('boxes', record);
    this.tell({kind: 'write-ended', result});
  }

  private async drop(key: string): Promise<void> {
    const record = {key, value: undefined};
    const result = await this.store.write('boxes', record);
    this.log.event('box-forgotten', {
      subject: key,
      // A record that stays is found again by the next node that starts.
      problem: result.ok ? '' : result.failure.detail,
    });
  }

  /** What a promise hangs on, for a box that is gone; tried again until it is read. */
  private async writeFor(record: StoredRecord): Promise<void> {
    const result = await this.store.write('boxes', record);
    this.log.event('record-written-for-box', {
      subject: record.key,
      problem: result.ok ? '' : result.failure.detail,
    });
  }

  private whenRead(
    {stream, read}: StreamRead,
    ending: Promise<StoreResult<RecordPage>>,
  ): void {
    void ending.then((result) =>
      this.tell({kind: 'read-ended', stream, read, result}),
    );
  }
}
