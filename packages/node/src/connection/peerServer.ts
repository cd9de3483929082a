// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Serves other nodes: calls to the upstreams of this box, and control messages.
 */

import grpc from '@grpc/grpc-js';
import type {PeerReply, PeerRequest} from '@lockpin/brain';
import type {ControlTraffic} from '../process/controlTraffic.js';
import {decodeDocument, encodeDocument} from './codec.js';
import {CHANNEL_OPTIONS, peerService} from './peerProtocol.js';

/** Handlers of the methods of the peer service. */
export interface PeerServerHandlers<
  Request extends object = PeerRequest,
  Reply extends object = PeerReply,
> {
  readonly call: (stream: grpc.ServerDuplexStream<Buffer, Buffer>) => void;
  /** Handles a stream that multiplexes exchanges. */
  readonly exchanges: (stream: grpc.ServerDuplexStream<Buffer, Buffer>) => void;
  readonly exchange: (request: Request, reply: (reply: Reply) => void) => void;
}

/** The gRPC server of a node. */
export class PeerServer<
  Request extends object = PeerRequest,
  Reply extends object = PeerReply,
> {
  private readonly server = new grpc.Server(CHANNEL_OPTIONS);

  constructor(
    handlers: PeerServerHandlers<Request, Reply>,
    traffic: ControlTraffic,
  ) {
    this.server.addService(peerService, {
      call: handlers.call,
      exchanges: handlers.exchanges,
      exchange: (
        call: grpc.ServerUnaryCall<Buffer, Buffer>,
        done: grpc.sendUnaryData<Buffer>,
      ) => {
        traffic.received('exchanges', call.request.length);
        handlers.exchange(decodeDocument<Request>(call.request), (reply) => {
          const bytes = encodeDocument(reply);
          traffic.sent('exchanges', bytes.length);
          done(null, bytes);
        });
      },
    });
  }

  /** Listens on an address; rejects if the address is in use. */
  async start(address: string): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.bindAsync(
        address,
        grpc.ServerCredentials.createInsecure(),
        (error) => (error ? reject(error) : resolve()),
      );
    });
  }

  /** Refuses new calls; resolves once those in flight have finished. */
  async drain(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.tryShutdown(() => resolve());
    });
  }

  stop(): void {
    this.server.forceShutdown();
  }
}
