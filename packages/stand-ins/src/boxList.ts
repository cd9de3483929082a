// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A stand-in for the platform's lagging list of live and leaving boxes. */

import type {Server} from 'node:http';
import {App} from '@tinyhttp/app';
import {listen, sendJson} from './http.js';

/** A box as listed by the platform. */
export interface ListedBox {
  readonly box: string;
  readonly dataCentre: string;
  readonly state: 'live' | 'leaving';
  /** Where the box's lockpin process listens for peers. */
  readonly peerAddress: string;
}

/** Serves the box list over HTTP with a configurable lag. */
export class BoxList {
  /** The delay before a change appears in the list, in milliseconds. */
  lagMilliseconds = 0;
  private readonly boxes = new Map<string, ListedBox>();
  private server: Server | undefined;

  /** Starts the server; resolves to its address. */
  async start(host: string, port = 0): Promise<string> {
    const app = new App({
      noMatchHandler: (_, response) => void response.writeHead(404).end(),
    });
    app.get('/boxes', (_, response) =>
      sendJson(response, 200, {boxes: [...this.boxes.values()]}),
    );
    const {server, address} = await listen(app, host, port);
    this.server = server;
    return address;
  }

  /** Adds or replaces a box after the lag. */
  set(box: ListedBox): void {
    this.afterLag(() => this.boxes.set(box.box, box));
  }

  /** Removes a box after the lag. */
  remove(box: string): void {
    this.afterLag(() => this.boxes.delete(box));
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private afterLag(change: () => void): void {
    if (this.lagMilliseconds === 0) {
      change();
      return;
    }
    setTimeout(change, this.lagMilliseconds).unref();
  }
}
