// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The store of a simulated fleet: records in memory, on a virtual clock. */

import {RECORD_STREAMS} from '../../recordStore.js';
import type {
  RecordPage,
  RecordStream,
  StoreResult,
  StoredRecord,
} from '../../recordStore.js';
import type {StreamRead} from '../../streamFollower.js';

/** Round-trip time of a call to the store. */
const ROUND_TRIP_MILLISECONDS = 4;

/** From a new record to the answer of a long poll that waits for it. */
const PUSH_MILLISECONDS = 2;

/** Timeout of a call that the store does not answer, after its wait. */
const CALL_TIMEOUT_MILLISECONDS = 2500;

/** A caller of the store, which checks isRefused when it answers. */
export interface StoreCaller {
  readonly isRefused: () => boolean;
}

/** The virtual clock of the fleet. */
export interface SimulatedClock {
  readonly now: () => number;
  readonly schedule: (milliseconds: number, run: () => void) => void;
}

/** A stored record with the time at which it arrived. */
interface TimedRecord extends StoredRecord {
  readonly at: number;
}

interface Poll {
  readonly stream: RecordStream;
  readonly from: number;
  readonly caller: StoreCaller;
  readonly done: (result: StoreResult<RecordPage>) => void;
  /** Was pending while the store hung, so it is never answered. */
  isLost: boolean;
}

/** Answers calls after a round trip unless it hangs. */
export class SimulatedStore {
  calls = 0;
  isDown = false;
  /** Additional time of each answer until the store hangs, in milliseconds. */
  answerDelay = 0;
  private isHung = false;
  private era = 1;
  private polls: Poll[] = [];
  private readonly logs: Record<RecordStream, TimedRecord[]> = {
    configuration: [],
    boxes: [],
  };

  constructor(private readonly clock: SimulatedClock) {}

  /**
   * Stops answering. Pending calls, and calls made before the store resumes,
   * are never answered.
   */
  hang(): void {
    this.isHung = true;
    this.answerDelay = 0;
    this.losePendingCalls();
  }

  /** The calls that are pending now are never answered. */
  losePendingCalls(): void {
    this.polls.forEach((poll) => {
      poll.isLost = true;
    });
  }

  /** Answers calls that are made from now on. */
  resume(): void {
    this.isHung = false;
  }

  /** Returns to an earlier state; records written since are lost. */
  restore(lostMilliseconds: number): void {
    const until = this.clock.now() - lostMilliseconds;
    for (const stream of RECORD_STREAMS) {
      this.logs[stream] = this.logs[stream].filter(({at}) => at <= until);
    }
    this.era += 1;
  }

  /** Number of records in a stream. */
  count(stream: RecordStream): number {
    return this.logs[stream].length;
  }

  /** The newest record of a key. */
  newestOf(stream: RecordStream, key: string): StoredRecord | undefined {
    return this.logs[stream].findLast((record) => record.key === key);
  }

  /** Appends a record for a writer outside the simulation. */
  append(stream: RecordStream, record: StoredRecord): void {
    this.logs[stream].push({...record, at: this.clock.now()});
    const end = this.count(stream);
    this.polls
      .filter((poll) => poll.stream === stream && poll.from < end)
      .forEach((poll) =>
        this.clock.schedule(PUSH_MILLISECONDS, () => this.endPoll(poll)),
      );
  }

  /** Handles a read by a node. */
  read(
    caller: StoreCaller,
    action: StreamRead,
    done: (result: StoreResult<RecordPage>) => void,
  ): void {
    if (action.kind === 'read-newest') {
      const {stream} = action;
      const answer = () => this.newest(stream);
      this.answer(caller, CALL_TIMEOUT_MILLISECONDS, answer, done);
      return;
    }
    const {stream, from, waitMilliseconds} = action;
    const timeout = waitMilliseconds + CALL_TIMEOUT_MILLISECONDS;
    const {offset} = from;
    if (caller.isRefused() || this.count(stream) !== offset) {
      this.answer(caller, timeout, () => this.after(stream, offset), done);
      return;
    }
    this.calls += 1;
    const poll = {stream, from: offset, caller, done, isLost: this.isHung};
    this.polls.push(poll);
    this.clock.schedule(this.answerTime + waitMilliseconds, () =>
      this.endPoll(poll),
    );
    this.clock.schedule(timeout, () =>
      this.finish(poll, () => this.refusal(true)),
    );
  }

  /** Handles a write of a box record by a node. */
  write(
    caller: StoreCaller,
    record: StoredRecord,
    done: (result: StoreResult<undefined>) => void,
  ): void {
    const answer = (): StoreResult<undefined> => {
      this.append('boxes', record);
      return {ok: true, value: undefined, era: this.era};
    };
    this.answer(caller, CALL_TIMEOUT_MILLISECONDS, answer, done);
  }

  private answer<T>(
    caller: StoreCaller,
    timeout: number,
    answer: () => StoreResult<T>,
    done: (result: StoreResult<T>) => void,
  ): void {
    this.calls += 1;
    const isLost = this.isHung;
    this.clock.schedule(isLost ? timeout : this.answerTime, () =>
      done(isLost || caller.isRefused() ? this.refusal(isLost) : answer()),
    );
  }

  private get answerTime(): number {
    return ROUND_TRIP_MILLISECONDS + this.answerDelay;
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
      const failure = {
        kind: 'history-gone',
        detail: 'offset is past the end of the stream',
      } as const;
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
        caller.isRefused() ? this.refusal(false) : this.after(stream, from),
      );
    }
  }

  private finish(poll: Poll, answer: () => StoreResult<RecordPage>): void {
    if (this.polls.includes(poll)) {
      this.polls = this.polls.filter((other) => other !== poll);
      poll.done(answer());
    }
  }

  private refusal<T>(isUnanswered: boolean): StoreResult<T> {
    const failure = {kind: 'unavailable', detail: 'refused'} as const;
    return {ok: false, failure, era: isUnanswered ? undefined : this.era};
  }
}
