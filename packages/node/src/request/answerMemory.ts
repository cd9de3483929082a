// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The memory of a process for answers that its callers have not taken yet. */

import {AnswerBytes} from '@lockpin/admission';
import type {
  AnswerAccount,
  AnswerBound,
  AnswerBounds,
} from '@lockpin/admission';

/**
 * Counts the buffered bytes of the guard and the entry of one process, and
 * resumes reading from upstreams when bytes are released.
 */
export class AnswerMemory {
  private readonly bytes: AnswerBytes;
  private readonly resumes = new Map<AnswerAccount, () => void>();

  constructor(
    bounds: AnswerBounds,
    /** Called each time an answer is not read on because of a bound. */
    private readonly onBlocked: (bound: AnswerBound) => void = () => undefined,
  ) {
    this.bytes = new AnswerBytes(bounds);
  }

  /** The buffered bytes of all calls. */
  get used(): number {
    return this.bytes.used;
  }

  /** Whether there is room for a large window for each answer. */
  get isAmple(): boolean {
    return this.bytes.isAmple;
  }

  /** Whether bytes that cannot be held back exceed the total by far. */
  get isOverflowing(): boolean {
    return this.bytes.isOverflowing;
  }

  /**
   * Opens the account of a call, to be closed at its end; `resume` is called
   * when an answer that was not to be read on may be.
   */
  open(customer: string, resume: () => void = () => undefined): AnswerAccount {
    const account = this.bytes.open(customer);
    this.resumes.set(account, resume);
    return account;
  }

  /** Counts bytes that have been buffered. */
  add(account: AnswerAccount, bytes: number): void {
    this.bytes.add(account, bytes);
  }

  /** Whether a call's answer may be read on now. */
  mayReadOn(account: AnswerAccount): boolean {
    const bound = this.bytes.reached(account);
    if (bound === undefined) {
      return true;
    }
    this.bytes.block(account);
    this.onBlocked(bound);
    return false;
  }

  /** Releases bytes that were passed on. */
  release(account: AnswerAccount, bytes: number): void {
    this.resume(this.bytes.release(account, bytes));
  }

  /** Releases all bytes of a call that has ended. */
  close(account: AnswerAccount): void {
    this.resumes.delete(account);
    this.resume(this.bytes.close(account));
  }

  /**
   * Resumes later: bytes may be released while the HTTP client parses another
   * answer, when it cannot parse a second one.
   */
  private resume(accounts: readonly AnswerAccount[]): void {
    for (const account of accounts) {
      queueMicrotask(() => this.resumes.get(account)?.());
    }
  }
}
