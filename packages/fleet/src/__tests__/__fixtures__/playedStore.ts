// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The store of a played fleet: records in memory, on the fleet's virtual clock. */

import {RECORD_STREAMS} from '../../recordStore.js';
import type {
  RecordPage,
  RecordStream,
  StoreResult,
  StoredRecord,
} from '../../recordStore.js';
import type {StreamRead} from '../../streamFollower.js';

/** A call to the store and its answer take this long. */
const CALL_TRIP_MILLISECONDS = 4;

/** From the arrival of a record to the answer of a poll that waits for it. */
const NEWS_TRIP_MILLISECONDS = 2;

/** A call to a store that says nothing is given up after this. */
const CALL_PATIENCE_MILLISECONDS = 2500;

/** A long poll of it, after its wait and this. */
const POLL_ALLOWANCE_MILLISECONDS = 1500;

/** Who calls; and whether the store refuses it when it comes to the answer. */
export interface StoreCaller {
  readonly isRefused: () => boolean;
}

/** Time as the fleet plays it. */
export interface PlayedTime {
  readonly now: () => number;
  readonly in: (milliseconds: number, run: () => void) => void;
}

/** A record as the store has it, with when it came. */
interface Kept extends StoredRecord {
  readonly at: number;
}

interface Poll {
  readonly stream: RecordStream;
  readonly from: number;
  readonly caller: StoreCaller;
  readonly done: (result: StoreResult<RecordPage>) => void;
  /** The connection was open while the store was silent: nothing comes on it. */
  isLost: boolean;
}

/** Answers calls after a trip, or not. */
export class PlayedStore {
  calls = 0;
  isDown = false;
  private isSilent = false;
  private era = 1;
  private polls: Poll[] = [];
  private readonly logs: Record<RecordStream, Kept[]> = {
    configuration: [],
    boxes: [],
  };

  constructor(private readonly time: PlayedTime) {}

  /**
   * No call is answered from now on. What is on its way then, and what is sent before the
   * store speaks again, is never answered.
   */
  silence(): void {
    this.isSilent = true;
    this.polls.forEach((poll) => {
      poll.isLost = true;
    });
  }

  /** Calls that are made from now on are answered. */
  speak(): void {
    this.isSilent = false;
  }

  /** The store is what it was some time ago; what it took since is gone. */
  restore(lostMilliseconds: number): void {
    const until = this.time.now() - lostMilliseconds;
    for (const stream of RECORD_STREAMS) {
      this.logs[stream] = this.logs[stream].filter(({at}) => at <= until);
    }
    this.era += 1;
  }

  /** Records that there are now. */
  count(stream: RecordStream): number {
    return this.logs[stream].length;
  }

  /** The newest record of a key. */
  newestOf(stream: RecordStream, key: string): StoredRecord | undefined {
    return this.logs[stream].findLast((record) => record.key === key);
  }

  /** Adds a record, as whoever is not played does. */
  append(stream: RecordStream, record: StoredRecord): void {
    this.logs[stream].push({...record, at: this.time.now()});
    const end = this.count(stream);
    this.polls
      .filter((poll) => poll.stream === stream && poll.from < end)
      .forEach((poll) =>
        this.time.in(NEWS_TRIP_MILLISECONDS, () => this.endPoll(poll)),
      );
  }

  /** A node reads. */
  read(
    caller: StoreCaller,
    action: StreamRead,
    done: (result: StoreResult<RecordPage>) => void,
  ): void {
    if (action.kind === 'read-newest') {
      const {stream} = action;
      const answer = () => this.newest(stream);
      this.answer(caller, CALL_PATIENCE_MILLISECONDS, answer, done);
      return;
    }
    const {stream, from, waitMilliseconds} = action;
    const patience = waitMilliseconds + POLL_ALLOWANCE_MILLISECONDS;
    const {offset} = from;
    if (caller.isRefused() || this.count(stream) !== offset) {
      this.answer(caller, patience, () => this.after(stream, offset), done);
      return;
    }
    this.calls += 1;
    const poll = {stream, from: offset, caller, done, isLost: this.isSilent};
    this.polls.push(poll);
    this.time.in(CALL_TRIP_MILLISECONDS + waitMilliseconds, () =>
      this.endPoll(poll),
    );
    this.time.in(patience, () => this.finish(poll, () => this.refused(true)));
  }

  /** A node writes a record of a box. */
  write(
    caller: StoreCaller,
    record: StoredRecord,
    done: (result: StoreResult<undefined>) => void,
  ): void {
    const answer = (): StoreResult<undefined> => {
      this.append('boxes', record);
      return {ok: true, value: undefined, era: this.era};
    };
    this.answer(caller, CALL_PATIENCE_MILLISECONDS, answer, done);
  }

  private answer<T>(
    caller: StoreCaller,
    patience: number,
    answer: () => StoreResult<T>,
    done: (result: StoreResult<T>) => void,
  ): void {
    this.calls += 1;
    const isLost = this.isSilent;
    this.time.in(isLost ? patience : CALL_TRIP_MILLISECONDS, () =>
      done(isLost || caller.isRefused() ? this.refused(isLost) : answer()),
    );
  }

  private newest(stream: RecordStream): StoreResult<RecordPage> {
    const newest = new Map(
      this.logs[stream].map((record) => [record.key, record]),
    );
    const records = [...newest.values()].filter(
      ({value}) => value !== undefined,
    );
    return this.page(stream, records, true);
  }

  private after(stream: RecordStream, from: number): StoreResult<RecordPage> {
    if (from > this.count(stream)) {
      const failure = {kind: 'history-gone', detail: 'not that far'} as const;
      return {ok: false, failure, era: this.era};
    }
    return this.page(stream, this.logs[stream].slice(from), false);
  }

  private page(
    stream: RecordStream,
    records: readonly StoredRecord[],
    isWhole: boolean,
  ): StoreResult<RecordPage> {
    const {era} = this;
    const end = {era, offset: this.count(stream)};
    return {ok: true, value: {records, end, isWhole}, era};
  }

  private endPoll(poll: Poll): void {
    if (!poll.isLost) {
      const {caller, stream, from} = poll;
      this.finish(poll, () =>
        caller.isRefused() ? this.refused(false) : this.after(stream, from),
      );
    }
  }

  private finish(poll: Poll, answer: () => StoreResult<RecordPage>): void {
    if (this.polls.includes(poll)) {
      this.polls = this.polls.filter((other) => other !== poll);
      poll.done(answer());
    }
  }

  private refused<T>(isUnanswered: boolean): StoreResult<T> {
    const failure = {kind: 'unavailable', detail: 'refused'} as const;
    return {ok: false, failure, era: isUnanswered ? undefined : this.era};
  }
}
