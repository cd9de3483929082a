// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Bytes of upstreams that are no answer in HTTP. */

import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {RawUpstream} from './__fixtures__/rawUpstream.js';

const FAILED = 'upstream-failed unknown';

let upstream: RawUpstream;

beforeEach(async () => {
  upstream = new RawUpstream();
  await upstream.start();
});

afterEach(() => upstream.stop());

/** What an upstream sends, with a length so that a call does not wait for it. */
function withBody(head: string, body = 'well'): string {
  return `${head}\r\n\r\n${body}`;
}

const OK = 'HTTP/1.1 200 OK';
const CHUNKED = 'transfer-encoding: chunked';
const CHUNKS = '4\r\nwell\r\n0\r\n\r\n';

const STATUS_LINES: readonly string[] = [
  'HTTP/1.1 000 OK',
  'HTTP/1.1 001 OK',
  'HTTP/1.1 099 OK',
  'HTTP/1.1 600 OK',
  'HTTP/1.1 999 OK',
  'HTTP/1.1 1000 OK',
  'HTTP/1.1 20 OK',
  'HTTP/1.1 2xx OK',
  'HTTP/1.1 +20 OK',
  'HTTP/1.1 -20 OK',
  'HTTP/1.1  200 OK',
  'HTTP/1.1 200OK',
  'HTTP/1.1\t200 OK',
  'HTTP/1.1 101 Switching Protocols',
  'HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: websocket',
  'HTTP/1.1 199 Interim',
  'HTTP/0.9 200 OK',
  'HTTP/1.2 200 OK',
  'HTTP/1.10 200 OK',
  'HTTP/2.0 200 OK',
  'HTTP/2 200 OK',
  'HTTP/3.0 200 OK',
  'RTSP/1.0 200 OK',
  'ICE/1.0 200 OK',
  'ICY 200 OK',
  'http/1.1 200 OK',
  ' HTTP/1.1 200 OK',
  'HTTP/1.1 200 O\0K',
  'HTTP/1.1 200 O\x07K',
  'HTTP/1.1 200 O\x7fK',
  'HTTP/1.1 200 O\rK',
  'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/2.0 200 OK',
  'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 O\0K',
  'HTTP/1.1 103 Early\0Hints\r\n\r\nHTTP/1.1 200 OK',
  'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 OK',
];

const HEADS: readonly (readonly [string, string])[] = [
  ['two lengths', `${OK}\r\ncontent-length: 4\r\ncontent-length: 5`],
  ['a list of lengths', `${OK}\r\ncontent-length: 4, 5`],
  ['a negative length', `${OK}\r\ncontent-length: -4`],
  ['a length with a sign', `${OK}\r\ncontent-length: +4`],
  ['a coding that nobody asked for', `${OK}\r\ntransfer-encoding: gzip`],
  ['chunks twice', `${OK}\r\n${CHUNKED}\r\n${CHUNKED}`],
  ['a folded header', `${OK}\r\ncontent-length: 4\r\nx: a\r\n b`],
  ['a folded length', `${OK}\r\ncontent-length: 4\r\n 5`],
  ['a NUL in a header', `${OK}\r\ncontent-length: 4\r\nx: a\0b`],
  ['a bell in a header', `${OK}\r\ncontent-length: 4\r\nx: a\x07b`],
  ['a DEL in a header', `${OK}\r\ncontent-length: 4\r\nx: a\x7fb`],
  ['a CR in a header', `${OK}\r\ncontent-length: 4\r\nx: a\rb`],
  ['lines that end in LF', `${OK}\ncontent-length: 4\nx: a`],
  ['a space behind a name', `${OK}\r\nx : a\r\ncontent-length: 4`],
  ['a header without a colon', `${OK}\r\nx\r\ncontent-length: 4`],
  ['a header without a name', `${OK}\r\n: x\r\ncontent-length: 4`],
  ['204 with a length', 'HTTP/1.1 204 No Content\r\ncontent-length: 4'],
  ['205 with a length', 'HTTP/1.1 205 Reset\r\ncontent-length: 4'],
  ['205 with a body', 'HTTP/1.1 205 Reset\r\nconnection: close'],
];

const CHUNKED_HEADS: readonly (readonly [string, string])[] = [
  ['a length and chunks', `${OK}\r\ncontent-length: 4\r\n${CHUNKED}`],
  ['chunks and a length', `${OK}\r\n${CHUNKED}\r\ncontent-length: 4`],
  ['chunks that are coded', `${OK}\r\n${CHUNKED}, gzip`],
  ['204 with chunks', `HTTP/1.1 204 No Content\r\n${CHUNKED}`],
  ['205 with chunks', `HTTP/1.1 205 Reset\r\n${CHUNKED}`],
];

const CASES: readonly (readonly [string, string])[] = [
  ...STATUS_LINES.map(
    (line) =>
      [JSON.stringify(line), withBody(`${line}\r\ncontent-length: 4`)] as const,
  ),
  ...HEADS.map(([name, head]) => [name, withBody(head)] as const),
  ...CHUNKED_HEADS.map(
    ([name, head]) => [name, withBody(head, CHUNKS)] as const,
  ),
];

describe('no answer', () => {
  it('reaches a caller though its status is 000 (a target in trouble)', async () => {
    upstream.answer = (socket) =>
      socket.end('HTTP/1.1 000 \r\ncontent-length: 4\r\n\r\nwell');
    expect(await upstream.call()).toBe(FAILED);
    expect(upstream.failures).toEqual(['no-answer']);
  });

  it.each(CASES)('reaches a caller: %s', async (_name, text) => {
    upstream.answer = (socket) => socket.end(Buffer.from(text, 'latin1'));
    expect(await upstream.call()).toBe(FAILED);
  });

  it.each(CASES)('reaches a caller byte by byte: %s', async (_name, text) => {
    upstream.answer = (socket) => {
      socket.setNoDelay();
      const bytes = Buffer.from(text, 'latin1');
      let at = 0;
      const send = (): void => {
        at += 1;
        socket.write(bytes.subarray(at - 1, at));
        if (at === bytes.length) {
          socket.end();
        } else if (!socket.destroyed) {
          setImmediate(send);
        }
      };
      send();
    };
    expect(await upstream.call()).toBe(FAILED);
  });

  it('reaches the caller of a call that cannot be repeated, nor runs it again', async () => {
    upstream.answer = (socket) =>
      socket.end('HTTP/1.1 600 x\r\ncontent-length: 4\r\n\r\nwell');
    expect(await upstream.call({repetition: 'at-most-once'})).toBe(FAILED);
    expect(upstream.sockets.length).toBe(1);
  });

  it.each([
    ['long', 'content-length: 200000\r\n\r\n'.padEnd(200_028, 'x')],
    ['in chunks', `${CHUNKED}\r\n\r\n${CHUNKS}`],
    ['to the close', `\r\n${'x'.repeat(200_000)}`],
  ])('reaches a caller with a body that is %s', async (_name, rest) => {
    upstream.answer = (socket) => socket.end(`HTTP/1.1 600 x\r\n${rest}`);
    expect(await upstream.call()).toBe(FAILED);
  });
});

describe('an upstream', () => {
  it.each([
    ['a status of 000', 'HTTP/1.1 000 x\r\ncontent-length: 4\r\n\r\nwell'],
    ['a status of 600', 'HTTP/1.1 600 x\r\ncontent-length: 4\r\n\r\nwell'],
    ['another version', 'HTTP/2.0 200 x\r\ncontent-length: 4\r\n\r\nwell'],
    ['empty lines without an end', '\r\n'.repeat(200_000)],
    ['interim answers', 'HTTP/1.1 103 x\r\n\r\n'.repeat(20_000)],
  ])(
    'gets no ordinary calls for a while after it sent %s',
    async (_what, text) => {
      upstream.answer = (socket) => socket.write(text);
      expect(await upstream.call()).toBe(FAILED);
      expect(await upstream.call({terms: 'may-wait'})).toBe(
        'upstream-doubted not-run',
      );
    },
  );
});

describe('an answer', () => {
  it('reaches its caller: to a HEAD request', async () => {
    upstream.answer = (socket) =>
      socket.write(`${OK}\r\ncontent-length: 4\r\n\r\n`);
    expect(await upstream.call({method: 'HEAD'})).toBe('200 ');
  });

  it.each([
    [
      'of HTTP/1.0',
      withBody('HTTP/1.0 200 OK\r\ncontent-length: 4'),
      '200 well',
    ],
    [
      'without a reason',
      withBody('HTTP/1.1 200 \r\ncontent-length: 4'),
      '200 well',
    ],
    [
      'with a reason in another script',
      withBody('HTTP/1.1 200 \xe6\x88\x90\t\x7e\r\ncontent-length: 4'),
      '200 well',
    ],
    [
      'behind an empty line',
      withBody(`\r\n${OK}\r\ncontent-length: 4`),
      '200 well',
    ],
    [
      'behind interim ones',
      withBody(
        `${'HTTP/1.1 102 Processing\r\nx: y\r\n\r\n'.repeat(20)}${OK}\r\ncontent-length: 4`,
      ),
      '200 well',
    ],
    [
      'of the last status',
      withBody('HTTP/1.1 599 x\r\ncontent-length: 4'),
      '599 well',
    ],
    ['of 205', withBody('HTTP/1.1 205 Reset\r\ncontent-length: 0', ''), '205 '],
    ['of 204', withBody('HTTP/1.1 204 No Content', ''), '204 '],
    ['of 304', withBody('HTTP/1.1 304 Not Modified\r\nx: y', ''), '304 '],
    [
      'in chunks',
      `${OK}\r\nTransfer-Encoding: Chunked\r\n\r\n${CHUNKS}`,
      '200 well',
    ],
  ])('reaches its caller: %s', async (_name, text, expected) => {
    upstream.answer = (socket) => socket.write(Buffer.from(text, 'latin1'));
    expect(await upstream.call()).toBe(expected);
  });

  it('reaches its caller behind others on its connection', async () => {
    upstream.answer = (socket) => {
      const answer = (): void =>
        void socket.write(withBody(`${OK}\r\ncontent-length: 4`));
      socket.on('data', answer);
      answer();
    };
    for (let i = 0; i < 20; i += 1) {
      expect(await upstream.call()).toBe('200 well');
    }
    expect(upstream.sockets.length).toBeLessThan(20);
  });
});
