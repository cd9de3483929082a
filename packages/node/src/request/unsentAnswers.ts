// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The bytes of answers that an entry has written and callers have not taken. */

import type {ServerResponse} from 'node:http';
import type {AnswerAccount} from '@lockpin/admission';
import type {AnswerMemory} from './answerMemory.js';
import type {CutReason} from './heldAnswer.js';

/**
 * A caller that takes nothing for this long is cut off. The progress of slow
 * ones is seen each time the system takes more bytes to send, which at 1 KB/s
 * and a third of a send buffer of 256 KB is every 85 s.
 */
const STALLED_MILLISECONDS = 120_000;

/** Counts unsent bytes and cuts off callers that do not take them. */
export class UnsentAnswers {
  /** Ordered by the time since which callers have not taken everything. */
  private readonly accounts = new Map<ServerResponse, AnswerAccount>();

  constructor(
    private readonly memory: AnswerMemory,
    private readonly onCut: (reason: CutReason) => void = () => undefined,
  ) {}

  /** Counts the bytes that the caller has not taken after a write. */
  written(response: ServerResponse, customer: string): void {
    const unsent = response.writableLength;
    if (unsent === 0) {
      return;
    }
    const account =
      this.accounts.get(response) ?? this.track(response, customer);
    if (unsent > account.bytes) {
      this.memory.add(account, unsent - account.bytes);
    }
    if (this.memory.isOverflowing) {
      this.cutLongestUnsent();
    }
  }

  private track(response: ServerResponse, customer: string): AnswerAccount {
    const account = this.memory.open(customer);
    const onTimeout = (): void => this.cut(response, 'reader-stalled');
    const onTaken = (): void => {
      response.off('drain', onTaken);
      response.off('finish', onTaken);
      response.off('close', onTaken);
      response.off('timeout', onTimeout);
      this.accounts.delete(response);
      this.memory.close(account);
    };
    this.accounts.set(response, account);
    response.on('drain', onTaken);
    response.on('finish', onTaken);
    response.on('close', onTaken);
    // Node.js restarts this timeout whenever the system takes some bytes.
    response.setTimeout(STALLED_MILLISECONDS, onTimeout);
    return account;
  }

  private cutLongestUnsent(): void {
    const [longest] = this.accounts.keys();
    if (longest !== undefined) {
      this.cut(longest, 'memory-exhausted');
    }
  }

  /** Resets the connection, so that no cut answer looks complete. */
  private cut(response: ServerResponse, reason: CutReason): void {
    this.onCut(reason);
    response.socket?.resetAndDestroy();
    response.destroy();
  }
}
