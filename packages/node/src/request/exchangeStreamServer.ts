// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Server side of a stream that multiplexes exchanges with one entry. */

import type {PeerStream} from '../connection/peerStream.js';
import type {BeginExchange, Exchange, ExchangeHandlers} from './exchange.js';
import {writeBatch} from './exchangeStreamBatch.js';
import {FrameBatch, decodeBatch} from './frameBatch.js';
import type {NumberedFrame} from './frameBatch.js';
import {NO_EXCHANGE} from './exchangeStream.js';
import type {PeerNews} from './frames.js';

/**
 * Flow-control window: bytes of an answer sent before the caller takes them.
 */
const ANSWER_CREDIT_BYTES = 256 * 1024;

/**
 * Window towards entries that enlarge it as far as their memory allows. It
 * limits what the readers of an entry make it buffer.
 */
export const INITIAL_CREDIT_BYTES = 64 * 1024;

/** What such an entry adds to the window while it has ample memory. */
export const ADDITIONAL_CREDIT_BYTES =
  ANSWER_CREDIT_BYTES - INITIAL_CREDIT_BYTES;

interface OpenExchange {
  exchange: Exchange | undefined;
  credit: number;
}

/** Handles the news that the ends of a stream send besides calls. */
export interface NewsHandlers {
  /** The news sent when the stream opens. */
  readonly first: () => PeerNews;
  /** Handles received news; `answer` replies on the same stream. */
  readonly onNews: (news: PeerNews, answer: (news: PeerNews) => void) => void;
  /**
   * Subscribes to news for all peers; returns the function that unsubscribes.
   */
  readonly subscribe: (sendNews: (news: PeerNews) => void) => () => void;
  /**
   * Subscribes to news for followers; returns the function that unsubscribes.
   */
  readonly follow: (sendNews: (news: PeerNews) => void) => () => void;
}

/** Serves a stream until it ends; open exchanges are then cancelled. */
export function serveExchangeStream(
  stream: PeerStream,
  begin: BeginExchange,
  newsHandlers?: NewsHandlers,
  initialCredit = ANSWER_CREDIT_BYTES,
): void {
  const server = new ExchangeStreamServer(
    stream,
    begin,
    newsHandlers,
    initialCredit,
  );
  const onClose = (): void => {
    unsubscribe?.();
    server.handleBreak();
  };
  const unsubscribe = newsHandlers?.subscribe((news) => server.sendNews(news));
  if (newsHandlers !== undefined) {
    server.sendNews(newsHandlers.first());
  }
  stream.handle({
    onMessage: (bytes) => server.receiveBatch(bytes),
    onEnd: () => {
      onClose();
      stream.end();
    },
    onError: onClose,
    onDrain: () => undefined,
  });
}

class ExchangeStreamServer {
  private readonly openExchanges = new Map<number, OpenExchange>();
  private readonly batch: FrameBatch;
  private stopFollowing: (() => void) | undefined;

  constructor(
    private readonly stream: PeerStream,
    private readonly begin: BeginExchange,
    private readonly newsHandlers: NewsHandlers | undefined,
    private readonly initialCredit: number,
  ) {
    this.batch = new FrameBatch((bytes) => writeBatch(stream, bytes));
  }

  receiveBatch(bytes: Buffer): void {
    const frames = decodeBatch(bytes);
    if (frames === undefined) {
      this.stream.reject();
    }
    frames?.forEach((frame) => this.receive(frame));
  }

  sendNews(news: PeerNews): void {
    this.batch.add(NO_EXCHANGE, {kind: 'news', news});
  }

  handleBreak(): void {
    this.setFollowing(false);
    const cancelled = [...this.openExchanges.values()];
    this.openExchanges.clear();
    cancelled.forEach(({exchange}) => exchange?.cancel());
  }

  private receive({number, frame}: NumberedFrame): void {
    const known = this.openExchanges.get(number);
    switch (frame.kind) {
      case 'call': {
        const opened: OpenExchange = {
          exchange: undefined,
          credit: this.initialCredit,
        };
        this.openExchanges.set(number, opened);
        const handlers = this.handlersFor(number, opened);
        opened.exchange = this.begin(frame.head, handlers);
        break;
      }
      case 'go':
        known?.exchange?.go(frame.request);
        break;
      case 'news':
        this.receiveNews(frame.news);
        break;
      case 'cancel':
        this.openExchanges.delete(number);
        known?.exchange?.cancel();
        break;
      case 'credit':
        if (known !== undefined) {
          known.credit += frame.bytes;
          known.exchange?.resume();
        }
        break;
    }
  }

  private receiveNews(news: PeerNews): void {
    if (news.kind === 'follow') {
      this.setFollowing(news.isWanted);
    } else {
      this.newsHandlers?.onNews(news, (answer) => this.sendNews(answer));
    }
  }

  /** Starts or stops sending news for followers to the other end. */
  private setFollowing(isWanted: boolean): void {
    this.stopFollowing?.();
    this.stopFollowing = isWanted
      ? this.newsHandlers?.follow((news) => this.sendNews(news))
      : undefined;
  }

  private handlersFor(number: number, opened: OpenExchange): ExchangeHandlers {
    const close = (): void => void this.openExchanges.delete(number);
    return {
      onContinue: () => this.batch.add(number, {kind: 'continue'}),
      onQueued: () => this.batch.add(number, {kind: 'queued'}),
      onAnswer: (head) => {
        this.batch.add(number, {kind: 'answer', head});
        if (!head.hasMore) {
          close();
        }
      },
      onChunk: (bytes) => {
        this.batch.add(number, {kind: 'chunk', bytes});
        opened.credit -= bytes.length;
        return opened.credit > 0;
      },
      onEnd: () => {
        this.batch.add(number, {kind: 'end'});
        close();
      },
      onRefusal: (refusal) => {
        this.batch.add(number, {kind: 'refusal', refusal});
        close();
      },
      onLost: () => {
        this.batch.add(number, {kind: 'lost'});
        close();
      },
    };
  }
}
