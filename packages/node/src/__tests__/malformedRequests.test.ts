// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Bytes of callers that are no HTTP, alone and behind other requests. */

import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, expect, it} from 'vitest';
import {startHttpServer} from '../connection/httpServer.js';
import {EntryClient, until} from './__fixtures__/entryFixture.js';

const RUBBISH = 'rubbish rubbish\r\n\r\n';

const ANSWER = 'the answer';

let server: Server;
let client: EntryClient;
let requests: IncomingMessage[];
let responses: ServerResponse[];

beforeEach(async () => {
  requests = [];
  responses = [];
  server = await startHttpServer('127.0.0.1:0', (request, response) => {
    requests.push(request.resume());
    responses.push(response);
  });
  const {port} = server.address() as AddressInfo;
  client = new EntryClient(connect({port, host: '127.0.0.1'}));
});

afterEach(() => {
  client.socket.destroy();
  server.closeAllConnections();
  server.close();
});

/** Resolves once the server has read all that was sent. */
async function untilRead(): Promise<void> {
  const {bytesWritten} = client.socket;
  await until(() => requests[0]?.socket.bytesRead === bytesWritten);
}

it('are answered and closed', async () => {
  client.socket.write(RUBBISH);
  await until(() => client.hasEnd);
  expect(client.statuses).toEqual([400]);
  expect(client.received).toMatch(/lockpin-outcome: not-run/);
});

it('without an end do not reset the connection before the answer', async () => {
  client.socket.pause();
  client.socket.write(Buffer.alloc(12_000_000, 'rubbish\r\n'));
  await until(() => client.socket.writableLength === 0 || client.error !== '');
  client.socket.resume();
  await until(() => client.hasEnd);
  client.socket.end();
  await until(() => client.socket.closed);
  expect(client.error).toBe('');
  expect(client.statuses).toEqual([400]);
});

it.each([
  ['has not begun', false],
  ['has begun', true],
])('do not replace the answer before them that %s', async (_name, hasBegun) => {
  client.sendHead('/first', 0);
  await until(() => responses.length === 1);
  const [response] = responses;
  if (hasBegun) {
    response?.writeHead(200, {'content-length': ANSWER.length});
    response?.write(ANSWER.slice(0, 3));
  }
  client.socket.write(RUBBISH + RUBBISH);
  await untilRead();
  client.socket.write(RUBBISH);
  await untilRead();
  response?.end(hasBegun ? ANSWER.slice(3) : ANSWER);
  await until(() => client.hasEnd);
  expect(client.statuses).toEqual([200]);
  expect(client.received.endsWith(`\r\n\r\n${ANSWER}`)).toBe(true);
});

it('within a body end the connection without a statement about the request', async () => {
  client.sendHead('/first', 'chunked');
  client.sendChunk(Buffer.from('part'));
  await until(() => responses.length === 1);
  client.socket.write('no length\r\n');
  await until(() => client.socket.closed);
  expect(client.received).toBe('');
});
