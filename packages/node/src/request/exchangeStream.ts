// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The entry's end of a stream that carries many exchanges with one guard. */

import type grpc from '@grpc/grpc-js';
import type {Exchange, ExchangeHandlers} from './exchange.js';
import {FrameBatch, readBatch} from './frameBatch.js';
import type {NumberedFrame, OnFrameBytes} from './frameBatch.js';
import type {CallHead, PeerNews} from './frames.js';
import {neverSent} from './remoteExchange.js';

/** A stream that carried nothing this long is ended. */
const IDLE_MILLISECONDS = 60_000;

/** Unanswered offers after which another connection is tried. */
const SILENCES_TO_RENEW = 2;

/** The number of frames that belong to no exchange. */
export const NO_EXCHANGE = 0;

interface OpenExchange {
  readonly handlers: ExchangeHandlers;
  /** Bytes taken from the guard and not yet by the caller. */
  owed: number;
}

/** One stream; when it breaks, every exchange on it is lost. */
export class ExchangeStream {
  private readonly open = new Map<number, OpenExchange>();
  private readonly batch: FrameBatch;
  private serial = 0;
  /** Offers that were not answered since anything was last heard. */
  private silences = 0;
  private hasBroken = false;
  private isKept = false;
  private idleTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly stream: grpc.ClientDuplexStream<Buffer, Buffer>,
    private readonly onNews: (news: PeerNews) => void,
    onFrameBytes?: OnFrameBytes,
  ) {
    this.batch = new FrameBatch((bytes) => {
      if (!this.hasBroken) {
        stream.write(bytes);
      }
    }, onFrameBytes);
    stream.on('data', (bytes: Buffer) => {
      this.silences = 0;
      readBatch(bytes, onFrameBytes).forEach((frame) => this.take(frame));
    });
    stream.on('end', () => this.broke(true));
    stream.on('error', (error: grpc.ServiceError) =>
      this.broke(!neverSent(error)),
    );
  }

  /** Whether exchanges can still be begun here. */
  get isUsable(): boolean {
    return !this.hasBroken;
  }

  begin(head: CallHead, handlers: ExchangeHandlers): Exchange {
    clearTimeout(this.idleTimer);
    this.serial += 1;
    const number = this.serial;
    const opened: OpenExchange = {handlers, owed: 0};
    this.open.set(number, opened);
    this.batch.add(number, {kind: 'call', head: offerOf(head)});
    return {
      sendChunk: () => true,
      sendEnd: () => undefined,
      go: (request) => this.batch.add(number, {kind: 'go', request}),
      resume: () => this.giveCredit(number, opened),
      cancel: () => {
        if (this.open.has(number)) {
          this.batch.add(number, {kind: 'cancel'});
          this.close(number);
        }
      },
    };
  }

  /** Whether the stream stays open while it carries nothing. */
  keep(isKept: boolean): void {
    this.isKept = isKept;
    this.endWhenIdle();
  }

  /** Tells the guard's node something that belongs to no call. */
  tell(news: PeerNews): void {
    this.batch.add(NO_EXCHANGE, {kind: 'news', news});
  }

  /** The guard did not answer an offer; true when it is silent altogether. */
  wasSilent(): boolean {
    this.silences += 1;
    return this.silences >= SILENCES_TO_RENEW;
  }

  private take({number, frame}: NumberedFrame): void {
    if (frame.kind === 'news') {
      this.onNews(frame.news);
      return;
    }
    const opened = this.open.get(number);
    if (opened === undefined) {
      return;
    }
    const {handlers} = opened;
    switch (frame.kind) {
      case 'continue':
        handlers.onContinue();
        break;
      case 'queued':
        handlers.onQueued();
        break;
      case 'answer':
        if (!frame.head.hasMore) {
          this.close(number);
        }
        handlers.onAnswer(frame.head);
        break;
      case 'chunk':
        opened.owed += frame.bytes.length;
        if (handlers.onChunk(frame.bytes)) {
          this.giveCredit(number, opened);
        }
        break;
      case 'end':
        this.close(number);
        handlers.onEnd();
        break;
      case 'refusal':
        this.close(number);
        handlers.onRefusal(frame.refusal);
        break;
      case 'lost':
        this.close(number);
        handlers.onLost(true);
        break;
    }
  }

  private giveCredit(number: number, opened: OpenExchange): void {
    if (opened.owed > 0 && this.open.has(number)) {
      this.batch.add(number, {kind: 'credit', bytes: opened.owed});
      opened.owed = 0;
    }
  }

  private close(number: number): void {
    this.open.delete(number);
    this.endWhenIdle();
  }

  private endWhenIdle(): void {
    clearTimeout(this.idleTimer);
    if (this.open.size === 0 && !this.isKept) {
      this.idleTimer = setTimeout(() => this.end(), IDLE_MILLISECONDS);
      this.idleTimer.unref();
    }
  }

  private end(): void {
    this.hasBroken = true;
    this.stream.end();
  }

  private broke(wasSent: boolean): void {
    this.hasBroken = true;
    clearTimeout(this.idleTimer);
    const left = [...this.open.values()];
    this.open.clear();
    left.forEach(({handlers}) => handlers.onLost(wasSent));
  }
}

/** An offer goes without its request, which only the guard that takes it needs. */
function offerOf(head: CallHead): CallHead {
  if (!head.needsGo) {
    return head;
  }
  const requestDigest = head.onceKey === undefined ? '' : head.requestDigest;
  const request = {method: '', path: '', headers: [], body: undefined};
  return {...head, ...request, requestDigest};
}
