// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The limits within which the rest of an answered request is read. */

import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {
  DROPPED_REST_BYTES,
  DROPPED_REST_MILLISECONDS,
  bytesToCome,
  dropRest,
  prepareAnswer,
} from '../request/requestRest.js';
import {isClosing} from '../connection/closingConnections.js';
import {EntryClient, until} from './__fixtures__/entryFixture.js';

/** Longer than any connection that is being closed is read. */
const LONG_MILLISECONDS = 60_000;

const SMALL_BYTES = 1000;

let server: Server;
let client: EntryClient;
/** The connection at the server, and how many requests it has read. */
let accepted: Socket | undefined;
let requests: number;

beforeEach(async () => {
  requests = 0;
  server = createServer((request, response) => {
    requests += 1;
    accepted = request.socket;
    prepareAnswer(request, response);
    response.end('answer');
    dropRest(request, response);
  });
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
  const {port} = server.address() as AddressInfo;
  client = new EntryClient(
    // A client that keeps its side open, whatever the server does.
    connect({port, host: '127.0.0.1', allowHalfOpen: true}),
  );
});

afterEach(() => {
  vi.useRealTimers();
  client.socket.destroy();
  server.closeAllConnections();
  server.close();
});

/** Lets timers of the server pass; sockets work on. */
async function advance(milliseconds: number): Promise<void> {
  vi.advanceTimersByTime(milliseconds);
  await new Promise((resolve) => setImmediate(resolve));
}

async function untilImmediate(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

describe('a rest that is short', () => {
  beforeEach(() => {
    vi.useFakeTimers({
      toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
    });
    client.sendHead('/', SMALL_BYTES);
  });

  it('leaves its connection open if it arrives in time', async () => {
    await untilImmediate(() => client.received.endsWith('answer'));
    await advance(DROPPED_REST_MILLISECONDS - 1);
    client.socket.write(Buffer.alloc(SMALL_BYTES));
    client.sendHead('/', 0);
    await untilImmediate(() => requests === 2);
    await advance(LONG_MILLISECONDS);
    expect(client.hasEnd).toBe(false);
    expect(client.statuses).toEqual([200, 200]);
  });

  it('closes its connection if it never arrives', async () => {
    await untilImmediate(() => client.received.endsWith('answer'));
    await advance(DROPPED_REST_MILLISECONDS);
    await untilImmediate(() => client.hasEnd);
    expect(client.error).toBe('');
  });
});

it('closes a connection whose client neither sends nor closes', async () => {
  vi.useFakeTimers({
    toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval'],
  });
  client.sendHead('/', 2 * DROPPED_REST_BYTES);
  await untilImmediate(() => client.hasEnd);
  expect(accepted?.destroyed).toBe(false);
  await advance(LONG_MILLISECONDS);
  await untilImmediate(() => accepted?.destroyed === true);
  expect(client.received.endsWith('answer')).toBe(true);
});

it('closes a connection on which a body has no end', async () => {
  client.sendHead('/', 'chunked');
  const piece = Buffer.alloc(64 * 1024);
  const send = (): void => {
    while (!client.socket.destroyed && client.socket.write(piece)) {
      // Until the connection takes no more.
    }
  };
  client.socket.on('drain', send);
  client.socket.write('ffffffff\r\n');
  send();
  await until(() => client.socket.closed);
  expect(client.received.endsWith('answer')).toBe(true);
});

describe('bytesToCome', () => {
  const UNREAD = {complete: false, readableLength: 10};

  it.each([
    ['without a body', {}, 0],
    ['with a length', {'content-length': '100'}, 60],
    ['in chunks', {'transfer-encoding': 'chunked'}, Number.POSITIVE_INFINITY],
  ])('of a request %s', (_name, headers, bytes) => {
    expect(bytesToCome({...UNREAD, headers}, 30)).toBe(bytes);
    expect(bytesToCome({...UNREAD, complete: true, headers}, 30)).toBe(0);
  });
});

it('tells which connections close', async () => {
  client.sendHead('/', 2 * DROPPED_REST_BYTES);
  await until(() => accepted !== undefined);
  expect(isClosing({socket: accepted as Socket})).toBe(true);
  expect(isClosing({socket: client.socket})).toBe(false);
});
