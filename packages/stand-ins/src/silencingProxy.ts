// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A TCP proxy whose connections stop delivering data without being closed. */

import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

const HOST = '127.0.0.1';

/** Can permanently stop forwarding on the connections open at the time. */
export class SilencingProxy {
  private readonly sockets: Socket[] = [];
  private readonly server: Server;

  constructor(targetPort: number) {
    this.server = createServer((caller) => {
      const callee = connect(targetPort, HOST);
      this.sockets.push(caller, callee);
      caller.on('error', () => callee.destroy());
      callee.on('error', () => caller.destroy());
      caller.pipe(callee).pipe(caller);
    });
  }

  /** Starts the proxy; resolves to its address. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, HOST, resolve);
    });
    return `${HOST}:${(this.server.address() as AddressInfo).port}`;
  }

  silenceOpenConnections(): void {
    this.sockets.forEach((socket) => socket.unpipe().pause());
  }

  /** Closes all connections and stops listening. */
  stop(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }
}
