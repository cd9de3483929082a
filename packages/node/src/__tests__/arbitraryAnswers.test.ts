// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Arbitrary bytes of upstreams: each call ends by itself, and no other. */

import type {Socket} from 'node:net';
import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {RawUpstream} from './__fixtures__/rawUpstream.js';

const RUNS = {numRuns: 1500, seed: 69, endOnFailure: true};

/** Calls whose upstream leaves them without an end wait for this. */
const REMAINING_MILLISECONDS = 60;

const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell';

const fragment = fc.constantFrom(
  WHOLE,
  'HTTP/1.1 200 OK\r\n',
  'HTTP/1.1 000 \r\n',
  'HTTP/1.1 100 Continue\r\n\r\n',
  'HTTP/1.1 101 Switching Protocols\r\n',
  'HTTP/1.1 103 Early Hints\r\n\r\n',
  'HTTP/1.1 204 No Content\r\n',
  'HTTP/1.1 205 Reset Content\r\n',
  'HTTP/1.1 304 Not Modified\r\n',
  'HTTP/1.1 600 x\r\n',
  'HTTP/1.0 200 OK\r\n',
  'HTTP/2.0 200 OK\r\n',
  'RTSP/1.0 200 OK\r\n',
  'content-length: 4\r\n',
  'content-length: 99999999999999999999\r\n',
  'transfer-encoding: chunked\r\n',
  'transfer-encoding: gzip\r\n',
  'connection: close\r\n',
  'connection: upgrade\r\nupgrade: x\r\n',
  'keep-alive: timeout=0\r\n',
  'x-classification: invalid\r\n',
  'x-classification: not-run\r\n',
  'constructor: x\r\n__proto__: y\r\n__proto__: z\r\n',
  'x: \xe9\r\n',
  'x: a\0b\r\n',
  ' folded\r\n',
  '\r\n',
  '\n',
  '4\r\nwell\r\n',
  '4;x=y\r\nwell\r\n',
  'ffffffffffffffff\r\n',
  '0\r\n\r\n',
  '0\r\nx: y\r\n\r\n',
  'well',
  'x'.repeat(70_000),
);

const answers = fc.record({
  parts: fc.array(
    fc.oneof({arbitrary: fragment, weight: 8}, fc.string({maxLength: 9})),
    {minLength: 1, maxLength: 9},
  ),
  /** Each part on its own, or all together. */
  isSplit: fc.boolean(),
  ending: fc.constantFrom('ends', 'is reset', 'stays open'),
});

let upstream: RawUpstream;

beforeEach(async () => {
  upstream = new RawUpstream();
  await upstream.start();
});

afterEach(() => upstream.stop());

function finish(socket: Socket, ending: string): void {
  if (ending === 'ends') {
    socket.end();
  } else if (ending === 'is reset') {
    socket.resetAndDestroy();
  }
}

describe('an upstream that sends arbitrary bytes', () => {
  it('ends its call in one way, and the next call is served', async () => {
    await fc.assert(
      fc.asyncProperty(answers, async ({parts, isSplit, ending}) => {
        upstream.answer = (socket) => {
          const [first = '', ...others] = isSplit ? parts : [parts.join('')];
          socket.write(Buffer.from(first, 'latin1'));
          const rest = [...others];
          const send = (): void => {
            const part = rest.shift();
            if (part === undefined) {
              finish(socket, ending);
            } else if (!socket.destroyed) {
              socket.write(Buffer.from(part, 'latin1'));
              setImmediate(send);
            }
          };
          setImmediate(send);
        };
        const remaining = REMAINING_MILLISECONDS;
        expect(await upstream.call({remaining})).toMatch(
          /^([2-5]\d\d |lost$|(upstream|deadline)-\S+ (unknown|not-run)$)/,
        );
      }),
      RUNS,
    );
    upstream.answer = (socket) => socket.write(WHOLE);
    const options = {repetition: 'at-most-once'} as const;
    expect(await upstream.call(options)).toBe('200 well');
  });
});
