// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Forwards one answer from its upstream to the entry at the pace of its reader,
 * and buffers what the upstream sends faster.
 */

import type {AnswerAccount} from '@lockpin/admission';
import type {Clock} from '@lockpin/types';
import type {AnswerMemory} from './answerMemory.js';
import type {ExchangeHandlers} from './exchange.js';

/** Memory that a buffered chunk takes besides its bytes. */
const CHUNK_OVERHEAD_BYTES = 256;

/** What a forwarder needs from its call. */
export interface AnswerForwarderOptions {
  readonly clock: Clock;
  readonly memory: AnswerMemory;
  readonly customer: string;
  /** Returns the current handlers of the exchange. */
  readonly handlers: () => ExchangeHandlers;
  /** Continues to read from the upstream. */
  readonly readOn: () => void;
  /** The answer was passed on completely, or given up. */
  readonly onClosed: () => void;
}

/** The buffered part of one answer, at its guard. */
export class AnswerForwarder {
  private readonly chunks: Buffer[] = [];
  private readonly account: AnswerAccount;
  private untakenAt: number | undefined;
  private blockedAt: number | undefined;
  private blockedBefore = 0;
  private hasEnded = false;
  private isClosed = false;

  constructor(private readonly options: AnswerForwarderOptions) {
    const {memory, customer} = options;
    this.account = memory.open(customer, () => {
      this.unblock();
      options.readOn();
    });
  }

  /** Bytes that are buffered here. */
  get bytes(): number {
    return this.account.bytes;
  }

  /** Since when the entry has asked for nothing; undefined if it can take more. */
  get untakenSince(): number | undefined {
    return this.untakenAt;
  }

  /** When reading from the upstream was suspended; undefined if it is not. */
  get blockedSince(): number | undefined {
    return this.blockedAt;
  }

  /** How long reading from the upstream was suspended altogether. */
  get blockedMilliseconds(): number {
    const now = this.options.clock();
    return this.blockedBefore + now - (this.blockedAt ?? now);
  }

  /** Takes a chunk; returns whether to read on. */
  push(chunk: Buffer): boolean {
    if (this.isClosed) {
      return true;
    }
    if (this.chunks.length === 0 && this.untakenAt === undefined) {
      this.pass(chunk);
      return true;
    }
    const {memory, clock} = this.options;
    this.chunks.push(chunk);
    memory.add(this.account, sizeOf(chunk));
    if (!memory.mayReadOn(this.account)) {
      this.blockedAt ??= clock();
      return false;
    }
    return true;
  }

  /** The upstream has sent the whole answer. */
  end(): void {
    this.hasEnded = true;
    this.finish();
  }

  /** The entry can take more. */
  resume(): void {
    this.untakenAt = undefined;
    while (this.untakenAt === undefined && !this.isClosed) {
      const chunk = this.chunks.shift();
      if (chunk === undefined) {
        break;
      }
      this.options.memory.release(this.account, sizeOf(chunk));
      this.pass(chunk);
    }
    this.finish();
  }

  /** Releases the buffered bytes; what follows is discarded. */
  drop(): void {
    if (!this.isClosed) {
      this.isClosed = true;
      this.unblock();
      this.chunks.length = 0;
      this.options.memory.close(this.account);
      this.options.onClosed();
    }
  }

  private pass(chunk: Buffer): void {
    const {handlers, clock} = this.options;
    if (!handlers().onChunk(chunk)) {
      this.untakenAt = clock();
    }
  }

  private finish(): void {
    if (this.hasEnded && this.chunks.length === 0 && !this.isClosed) {
      this.drop();
      this.options.handlers().onEnd();
    }
  }

  private unblock(): void {
    this.blockedBefore = this.blockedMilliseconds;
    this.blockedAt = undefined;
  }
}

function sizeOf(chunk: Buffer): number {
  return chunk.length + CHUNK_OVERHEAD_BYTES;
}
