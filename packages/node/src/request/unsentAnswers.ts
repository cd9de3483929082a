// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The bytes of answers that an entry has written and callers have not taken. */

import type {ServerResponse} from 'node:http';
import type {AnswerAccount} from '@lockpin/admission';
import type {AnswerMemory} from './answerMemory.js';
import type {CutCall, CutReason, OnCut} from './heldAnswer.js';

/**
 * A caller that takes nothing for this long is cut off. The progress of slow
 * ones is seen each time the system takes more bytes to send, which at 1 KB/s
 * and a third of a send buffer of 256 KB is every 85 s.
 */
const STALLED_MILLISECONDS = 120_000;

interface UnsentAnswer {
  readonly account: AnswerAccount;
  readonly call: CutCall;
}

/** Counts unsent bytes and cuts off callers that do not take them. */
export class UnsentAnswers {
  /** Ordered by the time since which callers have not taken everything. */
  private readonly answers = new Map<ServerResponse, UnsentAnswer>();

  constructor(
    private readonly memory: AnswerMemory,
    private readonly onCut: OnCut = () => undefined,
  ) {}

  /** Counts the bytes that the caller has not taken after a write. */
  written(response: ServerResponse, call: CutCall): void {
    const unsent = response.writableLength;
    if (unsent === 0) {
      return;
    }
    const {account} = this.answers.get(response) ?? this.track(response, call);
    if (unsent > account.bytes) {
      this.memory.add(account, unsent - account.bytes);
    }
    if (this.memory.isOverflowing) {
      this.cutLongestUnsent();
    }
  }

  private track(response: ServerResponse, call: CutCall): UnsentAnswer {
    const account = this.memory.open(call.customer);
    const answer = {account, call};
    const onTimeout = (): void => this.cut(response, 'reader-stalled');
    const onTaken = (): void => {
      response.off('drain', onTaken);
      response.off('finish', onTaken);
      response.off('close', onTaken);
      response.off('timeout', onTimeout);
      response.setTimeout(0);
      this.answers.delete(response);
      this.memory.close(account);
    };
    this.answers.set(response, answer);
    response.on('drain', onTaken);
    response.on('finish', onTaken);
    response.on('close', onTaken);
    // Node.js restarts this timeout whenever the system takes some bytes.
    response.setTimeout(STALLED_MILLISECONDS, onTimeout);
    return answer;
  }

  private cutLongestUnsent(): void {
    const [longest] = this.answers.keys();
    if (longest !== undefined) {
      this.cut(longest, 'memory-exhausted');
    }
  }

  /** Resets the connection, so that no cut answer looks complete. */
  private cut(response: ServerResponse, reason: CutReason): void {
    const answer = this.answers.get(response);
    if (answer !== undefined) {
      this.onCut(answer.call, reason);
    }
    response.socket?.resetAndDestroy();
    response.destroy();
  }
}
