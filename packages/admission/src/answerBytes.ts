// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Bounds the bytes of answers that a process buffers for callers: per call, per
 * customer and in total.
 */

/** The bounds of one process, in bytes. */
export interface AnswerBounds {
  readonly total: number;
  readonly call: number;
}

/** The bound that keeps an answer from being read on. */
export type AnswerBound = 'call' | 'customer' | 'total';

/** The bytes buffered for one call. */
export interface AnswerAccount {
  readonly customer: string;
  readonly bytes: number;
}

/**
 * Share of the memory limit that buffered answers may use. Beside slow readers a
 * node needs up to 100 MB without them, the smallest limit is 250 MB, and the
 * garbage collector frees buffers only some time after their release.
 */
const TOTAL_SHARE = 0.45;

/** Share of the total for one call; the largest answers known are 540 KB. */
const CALL_SHARE = 1 / 16;

/**
 * A customer may use up to this multiple of the free bytes. A single customer
 * then gets 0.89 of the total, two get 0.47 each, and a further customer always
 * finds free bytes.
 */
const CUSTOMER_FACTOR = 8;

/** Share of the total up to which answers are sent with a large window. */
const AMPLE_SHARE = 0.5;

/**
 * Above this multiple of the total, answers are cut off. With 1.2, 1,000 readers
 * of 540 KB at 2 KB/s brought a node to 254 MB; with 1.1 to 249 MB.
 */
const OVERFLOW_FACTOR = 1.1;

/** Derives the bounds from the memory limit of the process, in bytes. */
export function answerBounds(memoryBytes: number): AnswerBounds {
  const total = Math.floor(memoryBytes * TOTAL_SHARE);
  return {total, call: Math.floor(total * CALL_SHARE)};
}

interface MutableAccount extends AnswerAccount {
  bytes: number;
}

/** Counts the buffered bytes; the accounts that it returns must be closed. */
export class AnswerBytes {
  private readonly bytesByCustomer = new Map<string, number>();
  private readonly blocked = new Set<AnswerAccount>();
  private usedBytes = 0;

  constructor(private readonly bounds: AnswerBounds) {}

  /** The buffered bytes of all calls. */
  get used(): number {
    return this.usedBytes;
  }

  /** Whether there is room for a large window for each answer. */
  get isAmple(): boolean {
    return this.usedBytes < this.bounds.total * AMPLE_SHARE;
  }

  /** Whether bytes that cannot be held back exceed the total by far. */
  get isOverflowing(): boolean {
    return this.usedBytes > this.bounds.total * OVERFLOW_FACTOR;
  }

  /** Opens the account of a call. */
  open(customer: string): AnswerAccount {
    const account: MutableAccount = {customer, bytes: 0};
    return account;
  }

  /** Counts bytes that have been buffered, whether or not they fit. */
  add(account: AnswerAccount, bytes: number): void {
    this.change(account, bytes);
  }

  /**
   * Returns the bound that is reached for a call. A call without buffered bytes
   * is always read on, so that its reader, if it is fast, does not depend on
   * others.
   */
  reached({customer, bytes}: AnswerAccount): AnswerBound | undefined {
    if (bytes === 0) {
      return undefined;
    }
    const {total, call} = this.bounds;
    if (bytes >= call) {
      return 'call';
    }
    if (this.usedBytes >= total) {
      return 'total';
    }
    const held = this.bytesByCustomer.get(customer) ?? 0;
    const free = total - this.usedBytes;
    return held >= CUSTOMER_FACTOR * free ? 'customer' : undefined;
  }

  /** Marks a call whose answer is not read on for now. */
  block(account: AnswerAccount): void {
    this.blocked.add(account);
  }

  /**
   * Releases bytes of a call; returns the blocked calls that may now be read
   * on, those that have been blocked longest first.
   */
  release(account: AnswerAccount, bytes: number): readonly AnswerAccount[] {
    this.change(account, -Math.min(bytes, account.bytes));
    if (this.blocked.size === 0) {
      return [];
    }
    const readable = [...this.blocked].filter(
      (blocked) => this.reached(blocked) === undefined,
    );
    readable.forEach((unblocked) => this.blocked.delete(unblocked));
    return readable;
  }

  /** Releases all bytes of a call that has ended, as `release` does. */
  close(account: AnswerAccount): readonly AnswerAccount[] {
    this.blocked.delete(account);
    return this.release(account, account.bytes);
  }

  private change(account: AnswerAccount, bytes: number): void {
    const {customer} = account;
    (account as MutableAccount).bytes += bytes;
    this.usedBytes += bytes;
    const held = (this.bytesByCustomer.get(customer) ?? 0) + bytes;
    if (held === 0) {
      this.bytesByCustomer.delete(customer);
    } else {
      this.bytesByCustomer.set(customer, held);
    }
  }
}
