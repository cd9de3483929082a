// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What clients get from a server with as many connections as may be open. */

import {Agent, get} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {afterEach, describe, expect, it} from 'vitest';
import {startHttpServer} from '../connection/httpServer.js';

const MAXIMUM_CONNECTIONS = 8;

const REQUEST = 'GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n';

const opened: Socket[] = [];
let served = 0;
let server: Server | undefined;

afterEach(() => {
  opened.splice(0).forEach((socket) => socket.destroy());
  server?.closeAllConnections();
  server?.close();
});

async function start(): Promise<number> {
  served = 0;
  server = await startHttpServer(
    '127.0.0.1:0',
    (_request, response) => {
      served += 1;
      response.end('served');
    },
    {maximumConnections: MAXIMUM_CONNECTIONS},
  );
  return (server.address() as AddressInfo).port;
}

/** Opens a connection, and waits until the server has seen it. */
async function openIdle(port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1');
  opened.push(socket);
  socket.on('error', () => undefined);
  await new Promise((resolve) => socket.once('connect', resolve));
  await delay(10);
  return socket;
}

function call(port: number, agent: Agent): Promise<string> {
  return new Promise((resolve) => {
    get({port, host: '127.0.0.1', agent}, (response) => {
      void text(response).then((body) =>
        resolve(`${response.statusCode} ${body}`),
      );
    }).on('error', (error) => resolve(error.message));
  });
}

describe('a full server', () => {
  it('tells a client without a request that its call was not run', async () => {
    const port = await start();
    const first = await openIdle(port);
    const answer = text(first);
    for (let index = 0; index < MAXIMUM_CONNECTIONS; index += 1) {
      await openIdle(port);
    }
    expect(await answer).toMatch(
      /^HTTP\/1\.1 503 .*\r\nlockpin-outcome: not-run\r\nlockpin-reason: connections-full\r\nretry-after: 1\r\n/s,
    );
  });

  it('does not serve a request that comes once it has told so', async () => {
    const port = await start();
    const first = await openIdle(port);
    const answer = text(first);
    let connections = 1;
    server?.on('connection', () => {
      connections += 1;
      if (connections > MAXIMUM_CONNECTIONS) {
        first.write(REQUEST);
      }
    });
    for (let index = 0; index < MAXIMUM_CONNECTIONS; index += 1) {
      await openIdle(port);
    }
    expect(await answer).toMatch(/^HTTP\/1\.1 503 /);
    await delay(50);
    expect(served).toBe(0);
  });

  it('keeps the connections of clients that have called', async () => {
    const port = await start();
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    let connections = 0;
    server?.on('connection', () => (connections += 1));
    expect(await call(port, agent)).toBe('200 served');
    for (let index = 0; index < 3 * MAXIMUM_CONNECTIONS; index += 1) {
      await openIdle(port);
    }
    expect(await call(port, agent)).toBe('200 served');
    expect(connections).toBe(1 + 3 * MAXIMUM_CONNECTIONS);
    agent.destroy();
  });

  it('has room for new clients while those that called are gone', async () => {
    const port = await start();
    const gone = Array.from(
      {length: MAXIMUM_CONNECTIONS},
      () => new Agent({keepAlive: true}),
    );
    for (const agent of gone) {
      expect(await call(port, agent)).toBe('200 served');
    }
    const fresh = await Promise.all(
      Array.from({length: MAXIMUM_CONNECTIONS / 2}, () => openIdle(port)),
    );
    await delay(50);
    expect(fresh.map(({destroyed}) => destroyed)).not.toContain(true);
    const answers = fresh.map((socket) => text(socket));
    fresh.forEach((socket) => socket.write(REQUEST));
    for (const answer of answers) {
      expect(await answer).toMatch(/^HTTP\/1\.1 200 /);
    }
    gone.forEach((agent) => agent.destroy());
  });
});
