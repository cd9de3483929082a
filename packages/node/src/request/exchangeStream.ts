// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Client side of a stream that multiplexes exchanges with one guard. */

import type {PeerStream} from '../connection/peerStream.js';
import {isFinalStatus} from './answerSyntax.js';
import type {Exchange, ExchangeHandlers} from './exchange.js';
import {writeBatch} from './exchangeStreamBatch.js';
import {FrameBatch, decodeBatch} from './frameBatch.js';
import type {NumberedFrame, OnFrameBytes} from './frameBatch.js';
import type {CallHead, PeerNews} from './frames.js';

/** Time without exchanges after which a stream is closed, at most twice that. */
const IDLE_MILLISECONDS = 60_000;

/** Consecutive unanswered offers after which a new connection is opened. */
const RECONNECT_UNANSWERED_OFFERS = 2;

/** Exchange number of frames that belong to no exchange. */
export const NO_EXCHANGE = 0;

interface OpenExchange {
  readonly handlers: ExchangeHandlers;
  /** Bytes received from the guard that the caller has not taken yet. */
  uncreditedBytes: number;
}

/** A stream of exchanges; when it breaks, all exchanges on it are lost. */
export class ExchangeStream {
  private readonly openExchanges = new Map<number, OpenExchange>();
  private readonly batch: FrameBatch;
  private serial = 0;
  /** Unanswered offers since the last message was received. */
  private unansweredOffers = 0;
  private hasBroken = false;
  private isKept = false;
  private idleTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly stream: PeerStream,
    private readonly onNews: (news: PeerNews) => void,
    onFrameBytes?: OnFrameBytes,
    /**
     * Returns by how many bytes the window of an answer that has begun is
     * enlarged.
     */
    private readonly additionalCredit: () => number = () => 0,
  ) {
    this.batch = new FrameBatch((bytes) => {
      if (!this.hasBroken) {
        writeBatch(stream, bytes);
      }
    }, onFrameBytes);
    stream.handle({
      onMessage: (bytes) => {
        this.unansweredOffers = 0;
        const frames = decodeBatch(bytes, onFrameBytes);
        if (frames === undefined) {
          stream.reject();
        }
        frames?.forEach((frame) => this.receive(frame));
      },
      onEnd: () => this.handleBreak(true),
      onError: (wasSent) => this.handleBreak(wasSent),
      onDrain: () => undefined,
    });
    this.startIdlePeriod();
  }

  /** Whether new exchanges can be started. */
  get isUsable(): boolean {
    return !this.hasBroken;
  }

  begin(head: CallHead, handlers: ExchangeHandlers): Exchange {
    this.serial += 1;
    const number = this.serial;
    const opened: OpenExchange = {handlers, uncreditedBytes: 0};
    this.openExchanges.set(number, opened);
    this.batch.add(number, {kind: 'call', head: offerOf(head)});
    return {
      sendChunk: () => true,
      sendEnd: () => undefined,
      go: (request) => this.batch.add(number, {kind: 'go', request}),
      resume: () => this.giveCredit(number, opened),
      cancel: () => this.cancel(number),
    };
  }

  /** Sets whether the stream stays open without exchanges. */
  setKeptOpen(isKept: boolean): void {
    this.isKept = isKept;
  }

  /** Sends news, which belongs to no call, to the guard's node. */
  sendNews(news: PeerNews): void {
    this.batch.add(NO_EXCHANGE, {kind: 'news', news});
  }

  /** Counts an unanswered offer; true when the connection is to be replaced. */
  countUnansweredOffer(): boolean {
    this.unansweredOffers += 1;
    return this.unansweredOffers >= RECONNECT_UNANSWERED_OFFERS;
  }

  private receive({number, frame}: NumberedFrame): void {
    if (frame.kind === 'news') {
      this.onNews(frame.news);
      return;
    }
    const opened = this.openExchanges.get(number);
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
        if (!isFinalStatus(frame.head.status)) {
          // A guard of an earlier release passes on any status.
          this.cancel(number);
          handlers.onLost(true);
          break;
        }
        if (frame.head.hasMore) {
          opened.uncreditedBytes += this.additionalCredit();
          this.giveCredit(number, opened);
        } else {
          this.close(number);
        }
        handlers.onAnswer(frame.head);
        break;
      case 'chunk':
        opened.uncreditedBytes += frame.bytes.length;
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
    if (opened.uncreditedBytes > 0 && this.openExchanges.has(number)) {
      this.batch.add(number, {kind: 'credit', bytes: opened.uncreditedBytes});
      opened.uncreditedBytes = 0;
    }
  }

  private cancel(number: number): void {
    if (this.openExchanges.has(number)) {
      this.batch.add(number, {kind: 'cancel'});
      this.close(number);
    }
  }

  private close(number: number): void {
    this.openExchanges.delete(number);
  }

  /**
   * Ends the stream after a period in which no exchange was begun or open. One
   * timer per period costs less than one per exchange.
   */
  private startIdlePeriod(): void {
    const {serial} = this;
    this.idleTimer = setTimeout(() => {
      const isIdle = this.openExchanges.size === 0 && this.serial === serial;
      if (isIdle && !this.isKept) {
        this.end();
      } else {
        this.startIdlePeriod();
      }
    }, IDLE_MILLISECONDS);
    this.idleTimer.unref();
  }

  private end(): void {
    this.hasBroken = true;
    this.stream.end();
  }

  private handleBreak(wasSent: boolean): void {
    this.hasBroken = true;
    clearTimeout(this.idleTimer);
    const lost = [...this.openExchanges.values()];
    this.openExchanges.clear();
    lost.forEach(({handlers}) => handlers.onLost(wasSent));
  }
}

/** Omits the request from an offer; the guard gets it with the go signal. */
function offerOf(head: CallHead): CallHead {
  if (!head.needsGo) {
    return head;
  }
  const requestDigest = head.onceKey === undefined ? '' : head.requestDigest;
  const request = {method: '', path: '', headers: [], body: undefined};
  return {...head, ...request, requestDigest};
}
