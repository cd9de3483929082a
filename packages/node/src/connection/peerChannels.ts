// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Connections to other nodes, opened on demand and closed when long unused. */

import grpc from '@grpc/grpc-js';
import type {PeerReply, PeerRequest} from '@lockpin/brain';
import type {ControlTraffic} from '../process/controlTraffic.js';
import {decodeDocument, encodeDocument} from './codec.js';
import {createPeerClient} from './peerProtocol.js';
import type {PeerClient} from './peerProtocol.js';

/** Maximum number of open channels; the least recently used is closed first. */
const MAXIMUM_CHANNELS = 256;

const EXCHANGE_DEADLINE_MILLISECONDS = 2500;

/** Longer than any call in flight on a channel that was renewed. */
const RENEWED_CLOSE_MILLISECONDS = 30_000;

/**
 * Why a channel was renewed: an exchange timed out, or a stream stopped
 * receiving.
 */
export type RenewalCause = 'exchange-unanswered' | 'stream-silent';

/** One channel for each address, evicted in least recently used order. */
export class PeerChannels<
  Request extends object = PeerRequest,
  Reply extends object = PeerReply,
> {
  private readonly clients = new Map<string, PeerClient>();

  constructor(
    private readonly traffic: ControlTraffic,
    /** Called when the channel to an address is renewed. */
    private readonly onRenewed: (
      address: string,
      cause: RenewalCause,
    ) => void = () => undefined,
  ) {}

  /** Returns the client of an address and marks it as recently used. */
  client(address: string): PeerClient {
    const found = this.clients.get(address);
    if (found !== undefined) {
      this.clients.delete(address);
      this.clients.set(address, found);
      return found;
    }
    const created = createPeerClient(address);
    this.clients.set(address, created);
    this.dropUnused();
    return created;
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
    const deadline = Date.now() + EXCHANGE_DEADLINE_MILLISECONDS;
    const encoded = encodeDocument(request);
    this.traffic.sent('exchanges', encoded.length);
    const client = this.client(address);
    client.exchange(encoded, {deadline}, (error, bytes) => {
      this.traffic.received('exchanges', bytes?.length ?? 0);
      const isUnanswered = error?.code === grpc.status.DEADLINE_EXCEEDED;
      // Exchanges that time out on the same client renew the channel only once.
      if (isUnanswered && this.clients.get(address) === client) {
        this.renew(address, 'exchange-unanswered');
      }
      done(error || !bytes ? undefined : decodeDocument<Reply>(bytes));
    });
  }

  /**
   * Makes the next call to an address use a new connection; calls in flight on
   * the current one may still finish.
   */
  renew(address: string, cause: RenewalCause): void {
    const client = this.clients.get(address);
    this.clients.delete(address);
    if (client !== undefined) {
      this.onRenewed(address, cause);
      setTimeout(() => client.close(), RENEWED_CLOSE_MILLISECONDS).unref();
    }
  }

  close(): void {
    this.clients.forEach((client) => client.close());
    this.clients.clear();
  }

  private dropUnused(): void {
    if (this.clients.size <= MAXIMUM_CHANNELS) {
      return;
    }
    const [address, client] = this.clients.entries().next().value as [
      string,
      PeerClient,
    ];
    this.clients.delete(address);
    client.close();
  }
}
