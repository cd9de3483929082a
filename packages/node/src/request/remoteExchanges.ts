// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Manages exchanges with the guards of other boxes. */

import type {FollowedPeers} from '@lockpin/fleet';
import type {PeerClient} from '../connection/peerChannels.js';
import type {Exchange, ExchangeHandlers} from './exchange.js';
import {ExchangeStream} from './exchangeStream.js';
import type {NewsHandlers} from './exchangeStreamServer.js';
import {FollowedStreams} from './followedStreams.js';
import type {OnFrameBytes} from './frameBatch.js';
import type {CallHead, PeerNews} from './frames.js';
import {beginRemoteExchange} from './remoteExchange.js';

/**
 * Keeps one stream to each guard in use, since a stream per exchange costs
 * several times as much as the exchange. A streamed request body gets a stream
 * of its own, for the flow control of that call.
 */
export class RemoteExchanges {
  private readonly streams = new Map<string, ExchangeStream>();
  private readonly followed: FollowedStreams;

  constructor(
    private readonly client: (address: string) => PeerClient,
    private readonly newsHandlers?: Pick<NewsHandlers, 'first' | 'onNews'>,
    /** Drops the client of an address, so that the next one reconnects. */
    private readonly renew: (address: string) => void = () => undefined,
    /** Creates the counter of the frame bytes to and from an address. */
    private readonly counterFor: (
      address: string,
    ) => OnFrameBytes | undefined = () => undefined,
    /** Returns by how many bytes the window of an answer is enlarged. */
    private readonly additionalCredit?: () => number,
  ) {
    this.followed = new FollowedStreams(
      (address) => this.stream(address),
      (address) => this.dropConnection(address),
    );
  }

  begin(address: string, head: CallHead, handlers: ExchangeHandlers): Exchange {
    return head.hasMore
      ? beginRemoteExchange(this.client(address), head, handlers)
      : this.stream(address).begin(head, handlers);
  }

  /** Sends news to the nodes of all guards in use. */
  broadcastNews(news: PeerNews): void {
    for (const stream of this.streams.values()) {
      if (stream.isUsable) {
        stream.sendNews(news);
      }
    }
  }

  /** Sends news to one node, on the stream that its calls use. */
  sendNews(address: string, news: PeerNews): void {
    this.stream(address).sendNews(news);
  }

  /** Follows the given nodes and unfollows all others. */
  follow(peers: FollowedPeers): void {
    this.followed.follow(peers);
  }

  /** Reopens broken streams to followed nodes. */
  reopenFollowed(): void {
    this.followed.reopen();
  }

  /**
   * Counts an offer that a guard did not answer. After several in a row, the
   * next call uses a new connection: the current one may be dead without having
   * been closed.
   */
  countUnansweredOffer(address: string): void {
    if (this.streams.get(address)?.countUnansweredOffer()) {
      this.dropConnection(address);
    }
  }

  /** Replaces the connection to a node that did not reply, unless it broke. */
  renewUnresponsive(address: string): void {
    if (this.streams.get(address)?.isUsable) {
      this.dropConnection(address);
    }
  }

  /** Active exchanges may still finish; new ones use a new connection. */
  private dropConnection(address: string): void {
    this.streams.delete(address);
    this.renew(address);
  }

  private stream(address: string): ExchangeStream {
    const client = this.client(address);
    const existing = this.streams.get(address);
    if (existing?.isUsable) {
      return existing;
    }
    const opened: ExchangeStream = new ExchangeStream(
      client.exchanges(),
      (news) =>
        this.newsHandlers?.onNews(news, (answer) => opened.sendNews(answer)),
      this.counterFor(address),
      this.additionalCredit,
    );
    this.streams.set(address, opened);
    if (this.newsHandlers !== undefined) {
      opened.sendNews(this.newsHandlers.first());
    }
    return opened;
  }
}
