// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What goes wrong with one connection of an HTTP server stays there. */

import {request as httpRequest} from 'node:http';
import type {Server} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import type {
  RequestHandler,
  ServerProblem,
} from '../connection/guardedRequests.js';
import {startHttpServer} from '../connection/httpServer.js';
import type {HttpServerOptions} from '../connection/httpServer.js';

let server: Server;
const problems: ServerProblem[] = [];

afterEach(() => {
  problems.length = 0;
  server.closeAllConnections();
  server.close();
});

async function serve(
  handler: RequestHandler,
  options: HttpServerOptions = {},
): Promise<void> {
  server = await startHttpServer('127.0.0.1:0', handler, {
    ...options,
    onProblem: (problem) => problems.push(problem),
  });
}

function portOf(): number {
  return (server.address() as AddressInfo).port;
}

/** The status of a request, or the code of the error that ended it. */
function get(path: string): Promise<number | string | undefined> {
  return new Promise((resolve) => {
    const options = {port: portOf(), path, agent: false};
    httpRequest(options, ({statusCode}) => resolve(statusCode))
      .on('error', ({code}: NodeJS.ErrnoException) => resolve(code))
      .end();
  });
}

function open(bytes: string, options: {allowHalfOpen?: boolean} = {}): Socket {
  const socket = connect({port: portOf(), host: '127.0.0.1', ...options});
  socket.on('error', () => undefined);
  socket.resume();
  socket.write(bytes);
  return socket;
}

function closeOf(socket: Socket): Promise<void> {
  return new Promise((resolve) => socket.once('close', () => resolve()));
}

describe('an HTTP server', () => {
  // Guards against a process that ends for want of file descriptors.
  it('serves on after an accept has failed', async () => {
    await serve((_request, response) => void response.end());
    server.emit('error', new Error('accept EMFILE'));
    expect(problems).toEqual([
      {kind: 'accept-failed', detail: 'accept EMFILE'},
    ]);
    expect(await get('/')).toBe(200);
  });

  // Guards against a process that ends at an error of one request.
  it.each([
    [
      'throws',
      () => {
        throw new Error('odd');
      },
    ],
    ['rejects', () => Promise.reject(new Error('odd'))],
  ])('closes the connection of a request whose handler %s', async (_, fail) => {
    await serve((request, response) =>
      request.url === '/odd' ? fail() : void response.end(),
    );
    expect(await get('/odd')).toBe('ECONNRESET');
    expect(await get('/')).toBe(200);
    expect(problems.map(({kind}) => kind)).toEqual(['handler-failed']);
  });

  it('answers as many waiting requests of a connection as it may', async () => {
    const answers: (() => void)[] = [];
    await serve(
      (_request, response) => void answers.push(() => response.end()),
    );
    const socket = open('GET / HTTP/1.1\r\nhost: x\r\n\r\n'.repeat(128));
    let text = '';
    socket.on('data', (bytes: Buffer) => (text += String(bytes)));
    await expect.poll(() => answers.length, {timeout: 10_000}).toBe(128);
    answers.forEach((answer) => answer());
    await expect
      .poll(() => text.split('HTTP/1.1 200').length - 1, {timeout: 10_000})
      .toBe(128);
    socket.destroy();
    expect(problems).toEqual([]);
  });

  // Guards against requests that fill the memory while answers wait.
  it('closes a connection on which more requests wait', async () => {
    let handled = 0;
    await serve(() => void (handled += 1));
    await closeOf(open('GET / HTTP/1.1\r\nhost: x\r\n\r\n'.repeat(1000)));
    expect(handled).toBe(128);
    expect(problems.map(({kind}) => kind)).toEqual(['requests-without-end']);
  });

  // Guards against a connection that sends to a server that reads no bodies.
  it('closes a connection whose request has a body that nothing reads', async () => {
    await serve((_request, response) => void response.end(), {
      readsBodies: false,
    });
    const head = 'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked';
    await closeOf(open(`${head}\r\n\r\n1\r\nx\r\n`));
  });

  // Guards against connections that keep a file descriptor for ever.
  it('closes a connection after junk, even if the other end does not', async () => {
    await serve(() => undefined);
    open('junk\r\n\r\n', {allowHalfOpen: true});
    const connections = (): Promise<number> =>
      new Promise((resolve) =>
        server.getConnections((_error, count) => resolve(count)),
      );
    await expect.poll(connections, {timeout: 10_000}).toBe(1);
    await expect.poll(connections, {timeout: 10_000}).toBe(0);
  });
});
