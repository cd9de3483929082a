// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Performs the store actions of the fleet's state machine. */

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

/** An action that calls the store. */
export type StoreAction = FleetAction & {
  readonly kind:
    'read-newest' | 'follow' | 'write' | 'delete-record' | 'write-on-behalf';
};

/** Calls the store and reports each result to the fleet's state machine. */
export class FleetStoreCalls {
  constructor(
    private readonly store: RecordStore,
    private readonly log: DecisionLog,
    private readonly handleEvent: (event: FleetEvent) => void,
  ) {}

  /** Performs one action. */
  perform(action: StoreAction): void {
    const {store} = this;
    switch (action.kind) {
      case 'read-newest':
        this.reportRead(action, store.readNewest(action.stream));
        break;
      case 'follow':
        this.reportRead(
          action,
          store.follow(action.stream, action.from, action.waitMilliseconds),
        );
        break;
      case 'write':
        void this.write(action.record);
        break;
      case 'delete-record':
        void this.deleteRecord(action.key);
        break;
      case 'write-on-behalf':
        void this.writeOnBehalf(action.record);
        break;
    }
  }

  private async write(record: StoredRecord): Promise<void> {
    const result = await this.store.write('boxes', record);
    this.handleEvent({kind: 'write-ended', result});
  }

  private async deleteRecord(key: string): Promise<void> {
    const record = {key, value: undefined};
    const result = await this.store.write('boxes', record);
    this.log.event('box-forgotten', {
      subject: key,
      // If it fails, the next node that starts finds the record and retries.
      problem: result.ok ? '' : result.failure.detail,
    });
  }

  /**
   * Writes a record that a guarantee depends on, on behalf of a box that is
   * gone; repeated until it is read back.
   */
  private async writeOnBehalf(record: StoredRecord): Promise<void> {
    const result = await this.store.write('boxes', record);
    this.log.event('record-written-for-box', {
      subject: record.key,
      problem: result.ok ? '' : result.failure.detail,
    });
  }

  private reportRead(
    {stream, read}: StreamRead,
    pendingResult: Promise<StoreResult<RecordPage>>,
  ): void {
    void pendingResult.then((result) =>
      this.handleEvent({kind: 'read-ended', stream, read, result}),
    );
  }
}
