// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The state of the once keys that are bound to one process. */

import type {OnceHome, OnceKey} from './onceKey.js';

/** An answer stored for repeats of a key. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** What to do with a call that carries a key. */
export type OnceDecision =
  /** The key is new here and is now reserved: run it, or refuse it for good. */
  | {readonly kind: 'run'}
  | {readonly kind: 'answer'; readonly answer: StoredAnswer}
  /** It ran, but its answer was evicted or never stored. */
  | {readonly kind: 'already-ran'}
  /** It was sent to the upstream and the result is unknown. */
  | {readonly kind: 'may-have-run'}
  | {readonly kind: 'running'}
  /** It was refused earlier, never ran and never will. */
  | {readonly kind: 'refused-earlier'}
  | {readonly kind: 'other-request'}
  /** Bound to another process; only that process knows its state. */
  | {readonly kind: 'other-home'}
  /** So old that its state may have been evicted, or minted in the future. */
  | {readonly kind: 'expired'};

/** Limits of the ledger's memory, and of clock skew. */
export interface OnceLimits {
  readonly keys: number;
  readonly answerBytes: number;
  readonly largestAnswerBytes: number;
  /** Keys minted further ahead of the local clock than this are refused. */
  readonly futureMilliseconds: number;
}

/** The limits stated in the callers' guide. */
export const DEFAULT_ONCE_LIMITS: OnceLimits = {
  keys: 50_000,
  answerBytes: 16 * 1024 * 1024,
  largestAnswerBytes: 64 * 1024,
  futureMilliseconds: 60_000,
};

type KeyState =
  'reserved' | 'running' | 'answered' | 'ran' | 'may-have-run' | 'refused';

interface Entry {
  state: KeyState;
  readonly digest: string;
  readonly mintedAt: number;
  answer: StoredAnswer | undefined;
}

/**
 * Ensures that each key runs at most once. A key is bound to one process and
 * the ledger lasts as long as that process, so the guarantee depends on no
 * clock, log or other node. Keys are evicted oldest first, and the mint time of
 * the newest evicted key is kept: an unknown key that is not newer may have run
 * and is treated as expired.
 */
export class OnceLedger {
  private readonly entries = new Map<string, Entry>();
  private storedBytes = 0;
  private evictedUpTo = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly home: OnceHome,
    private readonly limits: OnceLimits = DEFAULT_ONCE_LIMITS,
  ) {}

  get size(): number {
    return this.entries.size;
  }

  /** Decides on a call; reserves the key if the call is to run. */
  begin(now: number, key: OnceKey, requestDigest: string): OnceDecision {
    const {box, incarnation} = key.home;
    if (box !== this.home.box || incarnation !== this.home.incarnation) {
      return {kind: 'other-home'};
    }
    const entry = this.entries.get(key.text);
    if (entry !== undefined) {
      return decideOnKnown(entry, requestDigest);
    }
    const isFromFuture = key.mintedAt > now + this.limits.futureMilliseconds;
    if (key.mintedAt <= this.evictedUpTo || isFromFuture) {
      return {kind: 'expired'};
    }
    this.add(key, requestDigest);
    return {kind: 'run'};
  }

  /** The call is being sent to the upstream. */
  started(key: string): void {
    this.set(key, 'running');
  }

  /** The call was refused before it ran; the key can never run. */
  refused(key: string): void {
    this.set(key, 'refused');
  }

  /** The upstream's answer was received completely. */
  answered(key: string, answer: StoredAnswer): void {
    const entry = this.set(key, 'answered');
    const bytes = answer.body.length;
    if (entry === undefined || bytes > this.limits.largestAnswerBytes) {
      this.set(key, 'ran');
      return;
    }
    entry.answer = answer;
    this.storedBytes += bytes;
    this.evictOldAnswers();
  }

  /** The upstream answered, but the answer is too large to store. */
  ran(key: string): void {
    this.set(key, 'ran');
  }

  /** The exchange with the upstream was interrupted: the call may have run. */
  interrupted(key: string): void {
    this.set(key, 'may-have-run');
  }

  private add(key: OnceKey, digest: string): void {
    this.entries.set(key.text, {
      state: 'reserved',
      digest,
      mintedAt: key.mintedAt,
      answer: undefined,
    });
    if (this.entries.size > this.limits.keys) {
      this.evictOldest();
    }
  }

  private set(key: string, state: KeyState): Entry | undefined {
    const entry = this.entries.get(key);
    if (entry !== undefined) {
      entry.state = state;
    }
    return entry;
  }

  /** Evicts the oldest tenth of the keys, except reserved and running ones. */
  private evictOldest(): void {
    const ended = [...this.entries]
      .filter(([, {state}]) => state !== 'running' && state !== 'reserved')
      .sort(([, a], [, b]) => a.mintedAt - b.mintedAt);
    for (const [key, entry] of ended.slice(0, this.limits.keys / 10)) {
      this.entries.delete(key);
      this.storedBytes -= entry.answer?.body.length ?? 0;
      this.evictedUpTo = Math.max(this.evictedUpTo, entry.mintedAt);
    }
  }

  private evictOldAnswers(): void {
    for (const entry of this.entries.values()) {
      if (this.storedBytes <= this.limits.answerBytes) {
        return;
      }
      if (entry.answer !== undefined) {
        this.storedBytes -= entry.answer.body.length;
        entry.answer = undefined;
        entry.state = 'ran';
      }
    }
  }
}

function decideOnKnown(entry: Entry, requestDigest: string): OnceDecision {
  if (entry.digest !== requestDigest) {
    return {kind: 'other-request'};
  }
  switch (entry.state) {
    case 'answered':
      return entry.answer === undefined
        ? {kind: 'already-ran'}
        : {kind: 'answer', answer: entry.answer};
    case 'ran':
      return {kind: 'already-ran'};
    case 'may-have-run':
      return {kind: 'may-have-run'};
    case 'refused':
      return {kind: 'refused-earlier'};
    default:
      return {kind: 'running'};
  }
}
