// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Answers that HTTP allows though undici does not expect them. */

import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {RawUpstream} from './__fixtures__/rawUpstream.js';

const WHOLE = 'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nwell';
const CONTINUE = 'HTTP/1.1 100 Continue\r\n\r\n';
const NOT_MODIFIED = 'HTTP/1.1 304 Not Modified\r\netag: "a"\r\n';

let upstream: RawUpstream;

beforeEach(async () => {
  upstream = new RawUpstream();
  await upstream.start();
});

afterEach(() => upstream.stop());

const REPETITIONS = ['repeatable', 'at-most-once'] as const;

describe.each(REPETITIONS)('the answer to a call that is %s', (repetition) => {
  it('may follow an interim answer that was not asked for', async () => {
    upstream.answer = (socket) => socket.write(CONTINUE + CONTINUE + WHOLE);
    expect(await upstream.call({repetition})).toBe('200 well');
  });

  it('may follow an interim answer that comes byte by byte', async () => {
    upstream.answer = (socket) => {
      const bytes = [...CONTINUE, WHOLE];
      const send = (): void => {
        const byte = bytes.shift();
        if (byte !== undefined) {
          socket.write(byte, () => setImmediate(send));
        }
      };
      send();
    };
    expect(await upstream.call({repetition})).toBe('200 well');
  });

  it('may be 304 with the length of the body that it does not have', async () => {
    upstream.answer = (socket) =>
      socket.write(`${NOT_MODIFIED}content-length: 4\r\n\r\n`);
    expect(await upstream.call({repetition})).toBe('304 ');
    upstream.answer = (socket) => socket.write(WHOLE);
    expect(await upstream.call({repetition})).toBe('200 well');
  });

  it('may be 304 with the framing of the body that it does not have', async () => {
    upstream.answer = (socket) =>
      socket.write(`${NOT_MODIFIED}transfer-encoding: chunked\r\n\r\n`);
    expect(await upstream.call({repetition})).toBe('304 ');
  });

  it('may be 304 without a length', async () => {
    upstream.answer = (socket) => socket.write(`${NOT_MODIFIED}\r\n`);
    expect(await upstream.call({repetition})).toBe('304 ');
  });
});
