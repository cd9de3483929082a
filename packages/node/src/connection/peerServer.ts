// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Serves other nodes: calls to the upstreams of this box, and control messages.
 */

import {createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import type {PeerReply, PeerRequest} from '@lockpin/brain';
import type {ControlTraffic} from '../process/controlTraffic.js';
import {listenOn} from './addressListeners.js';
import {BoundedConnections} from './boundedConnections.js';
import type {ClosedConnections} from './boundedConnections.js';
import {encodeDocument, tryDecodeDocument} from './codec.js';
import {PeerSockets} from './peerProbes.js';
import type {StartTicks} from './peerProbes.js';
import type {PeerMethod, PeerViolation} from './peerProtocol.js';
import {ServedRequests} from './peerRequests.js';
import {PeerSocket} from './peerSocket.js';
import type {PeerStream} from './peerStream.js';

/** Handlers of what other nodes send. */
export interface PeerServerHandlers<
  Request extends object = PeerRequest,
  Reply extends object = PeerReply,
> {
  /** Handles a stream with one exchange whose request body is streamed. */
  readonly call: (stream: PeerStream) => void;
  /** Handles a stream that multiplexes exchanges. */
  readonly exchanges: (stream: PeerStream) => void;
  readonly exchange: (request: Request, reply: (reply: Reply) => void) => void;
}

/** Observers and inputs of a server. */
export interface PeerServerOptions {
  /** Called when a connection is closed since its client violated the protocol. */
  readonly onViolation?: (address: string, violation: PeerViolation) => void;
  readonly startTicks?: StartTicks;
  /** Called when a connection could not be accepted. */
  readonly onAcceptFailed?: (error: Error) => void;
  /** Connections without a stream are closed beyond this many, then new ones. */
  readonly maximumConnections?: number;
  readonly onFull?: (closed: ClosedConnections) => void;
}

/** The server of a node for other nodes. */
export class PeerServer<
  Request extends object = PeerRequest,
  Reply extends object = PeerReply,
> {
  private readonly server: Server;
  private readonly sockets: PeerSockets;
  private readonly connections: BoundedConnections;
  private readonly served = new Set<ServedRequests>();
  private isDraining = false;
  private onDrained: (() => void) | undefined;

  constructor(
    private readonly handlers: PeerServerHandlers<Request, Reply>,
    private readonly traffic: ControlTraffic,
    private readonly options: PeerServerOptions = {},
  ) {
    this.sockets = new PeerSockets(options.startTicks);
    this.connections = new BoundedConnections({
      maximum: options.maximumConnections ?? Number.POSITIVE_INFINITY,
      onFull: (closed) => options.onFull?.(closed),
    });
    this.server = createServer({noDelay: true}, (socket) =>
      this.accept(socket),
    );
    // An accept may fail while the process has no file descriptor left.
    this.server.on('error', (error) => {
      if (this.server.listening) {
        this.options.onAcceptFailed?.(error);
      }
    });
  }

  /**
   * Listens on an address; resolves to it, with the chosen port if that was 0.
   * Rejects if the address is in use.
   */
  async start(address: string): Promise<string> {
    await listenOn(this.server, address);
    const chosen = (this.server.address() as AddressInfo).port;
    return address.replace(/:0$/, `:${chosen}`);
  }

  /**
   * Accepts no new streams; resolves once the open ones have ended. Connections
   * of single requests end with their last reply.
   */
  async drain(): Promise<void> {
    this.isDraining = true;
    this.server.close();
    this.served.forEach((requests) => requests.drain());
    await new Promise<void>((resolve) => {
      this.onDrained = resolve;
      this.reportDrained();
    });
  }

  /** Accepts no new streams and ends all streams. */
  stop(): void {
    this.server.close();
    this.sockets.stop();
  }

  private accept(socket: Socket): void {
    this.connections.opened(socket);
    if (socket.destroyed) {
      return;
    }
    const {remoteAddress = '', remotePort = 0} = socket;
    let requests: ServedRequests | undefined;
    const opened: PeerSocket = new PeerSocket(socket, {
      onPreface: (method) => {
        this.connections.used(socket);
        requests = this.serve(opened, method);
      },
      onViolation: (violation) =>
        this.options.onViolation?.(`${remoteAddress}:${remotePort}`, violation),
      onHeld: () => this.sockets.boundHeldBytes(),
      onClosed: () => {
        this.sockets.delete(opened);
        if (requests !== undefined) {
          this.served.delete(requests);
        }
        this.reportDrained();
      },
    });
    this.sockets.add(opened);
  }

  private serve(
    socket: PeerSocket,
    method: PeerMethod,
  ): ServedRequests | undefined {
    if (this.isDraining) {
      // The connection was accepted before, but no stream was opened on it.
      socket.cancel();
    } else if (method === 'requests') {
      const requests = new ServedRequests(socket, (bytes, reply) =>
        this.answer(socket, bytes, reply),
      );
      this.served.add(requests);
      return requests;
    } else {
      this.handlers[method](socket);
    }
    return undefined;
  }

  private answer(
    socket: PeerSocket,
    bytes: Buffer,
    reply: (bytes: Buffer) => void,
  ): void {
    this.traffic.received('exchanges', bytes.length);
    const request = tryDecodeDocument<Request>(bytes);
    if (request === undefined) {
      socket.reject();
      return;
    }
    this.handlers.exchange(request, (message) => {
      const encoded = encodeDocument(message);
      this.traffic.sent('exchanges', encoded.length);
      reply(encoded);
    });
  }

  private reportDrained(): void {
    if (this.sockets.size === 0) {
      this.onDrained?.();
    }
  }
}
