// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Bytes of upstreams without an end, in every part of an answer. */

import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {RawUpstream} from './__fixtures__/rawUpstream.js';

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}transfer-encoding: chunked\r\n\r\n`;
/** The connection is not closed for being idle while a test waits. */
const WHOLE = `${OK}keep-alive: timeout=60\r\ncontent-length: 4\r\n\r\nwell`;
const REJECTION = `${OK}x-classification: not-run\r\n`;

const PIECE_BYTES = 64_000;

/** Far longer than it takes to reach a bound of bytes. */
const REMAINING_MILLISECONDS = 20_000;

let upstream: RawUpstream;

beforeEach(async () => {
  upstream = new RawUpstream();
  await upstream.start();
});

afterEach(() => upstream.stop());

/** Waits for the end of a connection. */
async function closed(socket: Socket | undefined): Promise<void> {
  const options = {timeout: REMAINING_MILLISECONDS};
  await expect.poll(() => socket?.destroyed, options).toBe(true);
}

/** Sends as fast as the connection takes it. */
function sendEndlessly(socket: Socket, start: string, rest: string): void {
  const piece = rest.repeat(Math.ceil(PIECE_BYTES / rest.length));
  const send = (): void => {
    while (!socket.destroyed && socket.write(piece)) {
      // Until the connection takes no more.
    }
  };
  socket.on('drain', send);
  socket.write(start);
  send();
}

const PARTS: readonly (readonly [string, string, string])[] = [
  ['bytes that are nothing', '', '\x01\x02'],
  ['empty lines', '', '\r\n'],
  ['a protocol', 'H', 'T'],
  ['a status', 'HTTP/1.1 2', '0'],
  ['a reason', 'HTTP/1.1 200 ', 'O'],
  ['the name of a header', OK, 'x'],
  ['a header', `${OK}x: `, 'y'],
  ['headers', OK, 'x: y\r\n'],
  ['interim answers', '', 'HTTP/1.1 103 Early Hints\r\n\r\n'],
  [
    'interim answers with headers',
    '',
    `HTTP/1.1 103 Early Hints\r\nlink: ${'x'.repeat(8000)}\r\n\r\n`,
  ],
  ['the reason of an interim answer', 'HTTP/1.1 103 ', 'x'],
  ['the size of a chunk', CHUNKED, '0'],
  ['the extension of a chunk', `${CHUNKED}1;`, 'x'],
  ['the extension of a later chunk', `${CHUNKED}4\r\nwell\r\n1;x="`, 'x'],
  ['the extensions of chunks', CHUNKED, `1;${'x'.repeat(8000)}\r\nx\r\n`],
  ['a trailer', `${CHUNKED}0\r\nx: `, 'y'],
  ['trailers', `${CHUNKED}0\r\n`, 'x: y\r\n'],
  ['the body of a rejection', `${REJECTION}\r\n`, 'x'],
  [
    'the body of a rejection in chunks',
    `${REJECTION}transfer-encoding: chunked\r\n\r\n`,
    '1\r\nx\r\n',
  ],
  ['the body of no answer', 'HTTP/1.1 600 x\r\n\r\n', 'x'],
];

describe.each(['repeatable', 'at-most-once'] as const)(
  'a %s call',
  (repetition) => {
    it.each(PARTS)(
      'ends at a bound of bytes, not at its deadline, without an end of %s',
      async (_part, start, rest) => {
        upstream.answer = (socket) => sendEndlessly(socket, start, rest);
        const before = process.memoryUsage.rss();
        const options = {repetition, remaining: REMAINING_MILLISECONDS};
        expect(await upstream.call(options)).toBe('upstream-failed unknown');
        expect(process.memoryUsage.rss() - before).toBeLessThan(150_000_000);
        await closed(upstream.sockets[0]);
      },
    );
  },
);

describe('a connection', () => {
  it.each([
    ['a length', `${WHOLE}`, 'x'],
    ['empty lines', WHOLE, '\r\n'],
    ['answers', WHOLE, WHOLE],
  ])(
    'ends when bytes without an end follow an answer: %s',
    async (_name, start, rest) => {
      upstream.answer = (socket) => sendEndlessly(socket, start, rest);
      expect(await upstream.call()).toBe('200 well');
      await closed(upstream.sockets[0]);
      upstream.answer = (socket) => socket.write(WHOLE);
      expect(await upstream.call()).toBe('200 well');
    },
  );

  it('ends when they arrive while it is idle', async () => {
    upstream.answer = (socket) => socket.write(WHOLE);
    expect(await upstream.call()).toBe('200 well');
    const [socket] = upstream.sockets as [Socket];
    await new Promise((resolve) => setTimeout(resolve, 30));
    sendEndlessly(socket, '', '\r\n');
    await closed(socket);
    expect(await upstream.call()).toBe('200 well');
  });
});

describe('a long answer', () => {
  const MEGABYTES = 20;

  it.each([
    [
      'with a length',
      `${OK}content-length: ${MEGABYTES * 1_000_000}\r\n\r\n`,
      'x'.repeat(100_000),
      10 * MEGABYTES,
      '',
    ],
    [
      'in chunks of a byte',
      CHUNKED,
      '1;a=b\r\nx\r\n'.repeat(1000),
      500,
      '0\r\nx: y\r\n\r\n',
    ],
    [
      'in chunks with extensions',
      CHUNKED,
      `2000;signature=${'s'.repeat(100)}\r\n${'x'.repeat(0x2000)}\r\n`,
      1000,
      '0\r\n\r\n',
    ],
  ])('is passed on: %s', async (_name, start, piece, count, end) => {
    upstream.answer = (socket) => {
      socket.write(start);
      socket.write(piece.repeat(count));
      socket.write(end);
    };
    const options = {remaining: REMAINING_MILLISECONDS};
    expect(await upstream.call(options)).toMatch(/^200 (x|\d+ bytes )+$/);
  });

  it('is passed on behind as many interim ones as show that it is worked on', async () => {
    upstream.answer = (socket) => {
      socket.write('HTTP/1.1 102 Processing\r\n\r\n'.repeat(100));
      socket.write(WHOLE);
    };
    expect(await upstream.call()).toBe('200 well');
  });
});
