// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Connections to other nodes, opened on demand. */

import {connect} from 'node:net';
import type {Socket} from 'node:net';
import type {PeerReply, PeerRequest} from '@lockpin/brain';
import {parseAddress, steadyClock} from '@lockpin/utils';
import type {SocketAddress} from '@lockpin/utils';
import type {ControlTraffic} from '../process/controlTraffic.js';
import {encodeDocument, tryDecodeDocument} from './codec.js';
import {PeerSockets} from './peerProbes.js';
import type {StartTicks} from './peerProbes.js';
import type {PeerMethod, PeerViolation} from './peerProtocol.js';
import {countFailedConnect, mayConnect} from './peerReconnect.js';
import type {FailedConnects} from './peerReconnect.js';
import {PeerRequests} from './peerRequests.js';
import {PeerSocket} from './peerSocket.js';
import {unreachableStream} from './peerStream.js';
import type {PeerStream} from './peerStream.js';

/**
 * Maximum number of addresses of which state is kept; the least recently used
 * is forgotten first.
 */
const MAXIMUM_ADDRESSES = 256;

/**
 * Why a channel was renewed: an exchange timed out, or a stream stopped
 * receiving.
 */
export type RenewalCause = 'exchange-unanswered' | 'stream-silent';

/** Opens streams to one address. */
export interface PeerClient {
  /** Opens a stream that multiplexes exchanges. */
  readonly exchanges: () => PeerStream;
  /** Opens a stream for one exchange with a streamed request body. */
  readonly call: () => PeerStream;
}

/** Observers and inputs of the connections of a node. */
export interface PeerChannelsOptions {
  /** Called when the channel to an address is renewed. */
  readonly onRenewed?: (address: string, cause: RenewalCause) => void;
  /** Called when a connection is closed since the peer violated the protocol. */
  readonly onViolation?: (address: string, violation: PeerViolation) => void;
  /** Milliseconds. */
  readonly clock?: () => number;
  readonly startTicks?: StartTicks;
  readonly openSocket?: (target: SocketAddress) => Socket;
  /** While so many connections are open, no further node can be reached. */
  readonly maximumConnections?: number;
}

interface Channel extends PeerClient {
  readonly requests: PeerRequests;
}

/** One channel for each address, evicted in least recently used order. */
export class PeerChannels<
  Request extends object = PeerRequest,
  Reply extends object = PeerReply,
> {
  private readonly channels = new Map<string, Channel>();
  private readonly failedConnects = new Map<string, FailedConnects>();
  private readonly sockets: PeerSockets;

  constructor(
    private readonly traffic: ControlTraffic,
    private readonly options: PeerChannelsOptions = {},
  ) {
    this.sockets = new PeerSockets(options.startTicks);
  }

  /** Returns the client of an address and marks it as recently used. */
  client(address: string): PeerClient {
    return this.channel(address);
  }

  /**
   * Sends a control message; the reply is undefined if the peer does not
   * answer.
   */
  exchange(
    address: string,
    request: Request,
    done: (reply: Reply | undefined) => void,
  ): void {
    const encoded = encodeDocument(request);
    this.traffic.sent('exchanges', encoded.length);
    const channel = this.channel(address);
    channel.requests.send(encoded, (end, bytes) => {
      this.traffic.received('exchanges', bytes?.length ?? 0);
      // Exchanges that time out on the same channel renew it only once.
      if (end === 'unanswered' && this.channels.get(address) === channel) {
        this.renew(address, 'exchange-unanswered');
      }
      const reply = bytes && tryDecodeDocument<Reply>(bytes);
      if (bytes !== undefined && reply === undefined) {
        channel.requests.reject();
      }
      done(reply);
    });
  }

  /**
   * Makes the next exchange with an address use a new connection; those in
   * flight on the current one may still finish.
   */
  renew(address: string, cause: RenewalCause): void {
    const channel = this.channels.get(address);
    this.channels.delete(address);
    if (channel !== undefined) {
      this.options.onRenewed?.(address, cause);
      channel.requests.retire();
    }
  }

  /** Ends all streams and connections. */
  close(): void {
    this.channels.clear();
    this.sockets.stop();
  }

  private channel(address: string): Channel {
    const found = this.channels.get(address);
    if (found !== undefined) {
      this.channels.delete(address);
      this.channels.set(address, found);
      return found;
    }
    const created: Channel = {
      exchanges: () => this.open(address, 'exchanges'),
      call: () => this.open(address, 'call'),
      requests: new PeerRequests(() => this.open(address, 'requests')),
    };
    this.channels.set(address, created);
    if (this.channels.size > MAXIMUM_ADDRESSES) {
      deleteOldest(this.channels)?.requests.retire();
    }
    return created;
  }

  private open(address: string, method: PeerMethod): PeerStream {
    const target = parseAddress(address);
    const failed = this.failedConnects.get(address);
    const {
      openSocket = openTcpSocket,
      onViolation,
      maximumConnections = Number.POSITIVE_INFINITY,
    } = this.options;
    if (
      target === undefined ||
      !mayConnect(failed, this.now()) ||
      this.sockets.size >= maximumConnections
    ) {
      return unreachableStream();
    }
    const socket: PeerSocket = new PeerSocket(
      openSocket(target),
      {
        onPreface: () => void this.failedConnects.delete(address),
        onConnectFailed: () => this.connectFailed(address),
        onViolation: (violation) => onViolation?.(address, violation),
        onHeld: () => this.sockets.boundHeldBytes(),
        onClosed: () => this.sockets.delete(socket),
      },
      method,
    );
    this.sockets.add(socket);
    return socket;
  }

  private connectFailed(address: string): void {
    const failed = this.failedConnects.get(address);
    this.failedConnects.delete(address);
    this.failedConnects.set(address, countFailedConnect(failed, this.now()));
    if (this.failedConnects.size > MAXIMUM_ADDRESSES) {
      deleteOldest(this.failedConnects);
    }
  }

  private now(): number {
    return (this.options.clock ?? steadyClock)();
  }
}

function openTcpSocket({host, port}: SocketAddress): Socket {
  return connect({host, port, noDelay: true});
}

/** Deletes the entry that was set first; returns its value. */
function deleteOldest<Value>(map: Map<string, Value>): Value | undefined {
  const [oldest] = map;
  if (oldest !== undefined) {
    map.delete(oldest[0]);
  }
  return oldest?.[1];
}
