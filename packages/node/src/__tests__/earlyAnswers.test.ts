// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Answers that come before the bodies of their requests are in. */

import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {DROPPED_REST_BYTES} from '../request/requestRest.js';
import {EntryFixture, bodyOf, until} from './__fixtures__/entryFixture.js';
import type {EntryClient, PlayedAttempt} from './__fixtures__/entryFixture.js';

const FIRST_PART_BYTES = 100_000;

/** More than a rest that is dropped, and than a connection holds unread. */
const LONG_BYTES = 12 * DROPPED_REST_BYTES;

/** The answer to the request behind the first one. */
const NEXT = 'answer of the next request';

const FRAMINGS = ['with a length', 'in chunks'] as const;

let fixture: EntryFixture;
let client: EntryClient;

beforeEach(async () => {
  fixture = new EntryFixture();
  await fixture.start();
  client = await fixture.connect();
});

afterEach(() => fixture.stop());

function sendPart(framing: (typeof FRAMINGS)[number], bytes: Buffer): void {
  if (framing === 'in chunks') {
    client.sendChunk(bytes);
  } else {
    client.socket.write(bytes);
  }
}

function sendEnd(framing: (typeof FRAMINGS)[number]): void {
  if (framing === 'in chunks') {
    client.sendLastChunk();
  }
}

/** Sends the first part of a request, of which a guard takes one chunk. */
async function beginLong(
  framing: (typeof FRAMINGS)[number],
  length: number,
): Promise<PlayedAttempt> {
  client.sendHead('/long', framing === 'in chunks' ? 'chunked' : length);
  sendPart(framing, bodyOf(FIRST_PART_BYTES));
  const attempt = await fixture.attempt(1);
  // As with an upstream that reads no more.
  attempt.hasRoom = false;
  attempt.handlers.onContinue();
  await until(() => attempt.chunks.length > 0);
  return attempt;
}

/** How the request is answered, and what its client then sees. */
const WAYS: readonly (readonly [
  string,
  {
    readonly answer: (attempt: PlayedAttempt) => void;
    readonly status: number;
    readonly end: string;
  },
])[] = [
  [
    'passed on whole',
    {
      answer: (attempt) => attempt.answer(500, 'early'),
      status: 500,
      end: 'early',
    },
  ],
  [
    'streamed',
    {
      answer: (attempt) => {
        attempt.answer(200, undefined);
        attempt.handlers.onChunk(Buffer.from('streamed'));
        attempt.handlers.onEnd();
      },
      status: 200,
      end: '0\r\n\r\n',
    },
  ],
  [
    'refused as not run',
    {
      answer: (attempt) => attempt.refuse('upstream-replaced'),
      status: 503,
      end: '}',
    },
  ],
  [
    'refused with an unknown outcome',
    {
      answer: (attempt) => attempt.refuse('upstream-failed', 'unknown'),
      status: 502,
      end: '}',
    },
  ],
  [
    'lost',
    {
      answer: (attempt) => attempt.handlers.onLost(true),
      status: 502,
      end: '}',
    },
  ],
];

/** Closes the connection once the entry has; neither side may reset it. */
async function closeAtEnd(): Promise<void> {
  await until(() => client.hasEnd);
  client.socket.end();
  await until(() => client.socket.closed);
  expect(client.error).toBe('');
}

function isAllWritten(): boolean {
  return client.socket.writableLength === 0 || client.error !== '';
}

function isClosed(): boolean {
  return /\r\nconnection: close\r\n/i.test(client.received);
}

describe.each(FRAMINGS)('a request %s', (framing) => {
  it.each(WAYS)(
    'that is %s before its body is in does not hold up the next one',
    async (_name, {answer, status}) => {
      const length = 4 * FIRST_PART_BYTES;
      answer(await beginLong(framing, length));
      await until(() => client.statuses.length === 1);
      expect(client.statuses).toEqual([status]);
      sendPart(framing, bodyOf(length - FIRST_PART_BYTES));
      sendEnd(framing);
      client.sendHead('/next', 0);
      expect(isClosed()).toBe(framing === 'in chunks');
      if (isClosed()) {
        await until(() => client.hasEnd);
        expect(fixture.attempts).toHaveLength(1);
      } else {
        (await fixture.attempt(2)).answer(200, NEXT);
        await until(() => client.received.endsWith(NEXT));
        expect(client.hasEnd).toBe(false);
      }
      expect(client.error).toBe('');
    },
  );

  it.each(WAYS)(
    'that is %s long before its body is in sees the answer and the end',
    async (_name, {answer, status, end}) => {
      const length = LONG_BYTES;
      const attempt = await beginLong(framing, length);
      client.socket.pause();
      answer(attempt);
      sendPart(framing, bodyOf(length - FIRST_PART_BYTES));
      sendEnd(framing);
      client.sendHead('/next', 0);
      await until(isAllWritten);
      client.socket.resume();
      await closeAtEnd();
      expect(client.statuses).toEqual([status]);
      expect(client.received.endsWith(end)).toBe(true);
      expect(isClosed()).toBe(true);
      expect(fixture.attempts).toHaveLength(1);
    },
  );

  it('whose answer breaks off before its body is in is closed', async () => {
    const attempt = await beginLong(framing, 4 * FIRST_PART_BYTES);
    attempt.answer(200, undefined);
    attempt.handlers.onChunk(Buffer.from('half'));
    attempt.handlers.onLost(true);
    await until(() => client.socket.closed);
    expect(client.received).not.toMatch(/\r\n0\r\n/);
  });

  it('that is refused before it is read sees the refusal and the end', async () => {
    fixture.isReady = false;
    const length = LONG_BYTES;
    client.socket.pause();
    client.sendHead('/long', framing === 'in chunks' ? 'chunked' : length);
    sendPart(framing, bodyOf(length));
    sendEnd(framing);
    client.sendHead('/next', 0);
    await until(isAllWritten);
    client.socket.resume();
    await closeAtEnd();
    expect(client.statuses).toEqual([503]);
    expect(fixture.attempts).toEqual([]);
  });

  it('whose answer begins early can send its body on', async () => {
    const length = 4 * FIRST_PART_BYTES;
    const attempt = await beginLong(framing, length);
    attempt.hasRoom = true;
    attempt.answer(200, undefined);
    attempt.handlers.onContinue();
    sendPart(framing, bodyOf(length - FIRST_PART_BYTES));
    sendEnd(framing);
    await until(() => attempt.hasEnd);
    expect(attempt.body).toHaveLength(length);
    attempt.handlers.onEnd();
    await until(() => client.received.endsWith('\r\n0\r\n\r\n'));
  });
});

type Step =
  | {readonly kind: 'part'; readonly bytes: number}
  | {readonly kind: 'continue' | 'pause' | 'head' | 'chunk' | 'turn'}
  | {readonly kind: 'end'; readonly way: number};

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('part' as const),
    bytes: fc.integer({min: 1, max: 90_000}),
  }),
  fc.record({
    kind: fc.constantFrom(
      'continue' as const,
      'pause' as const,
      'head' as const,
      'chunk' as const,
      'turn' as const,
    ),
  }),
  fc.record({kind: fc.constant('end' as const), way: fc.nat({max: 4})}),
);

/** Ends an attempt in one of the ways in which a guard may. */
function endIn(attempt: PlayedAttempt, way: number, hasHead: boolean): boolean {
  if (way === 0) {
    attempt.handlers.onLost(true);
  } else if (hasHead) {
    attempt.handlers.onEnd();
  } else if (way === 1) {
    attempt.refuse('upstream-failed', 'unknown');
  } else {
    attempt.answer(200, 'whole');
  }
  return hasHead && way === 0;
}

async function play(
  framing: (typeof FRAMINGS)[number],
  length: number,
  steps: readonly Step[],
): Promise<void> {
  client = await fixture.connect();
  const count = fixture.attempts.length;
  client.sendHead('/long', framing === 'in chunks' ? 'chunked' : length);
  let toSend = length;
  const send = (bytes: number): void => {
    const part = Math.min(bytes, toSend);
    if (part > 0) {
      sendPart(framing, Buffer.alloc(part, 'x'));
      toSend -= part;
    }
  };
  send(80_000);
  const attempt = await fixture.attempt(count + 1);
  let hasHead = false;
  let isOver = false;
  let isCut = false;
  for (const next of [...steps, {kind: 'end', way: 2} as const]) {
    if (next.kind === 'part') {
      send(next.bytes);
    } else if (next.kind === 'turn') {
      await new Promise((resolve) => setTimeout(resolve, 1));
    } else if (!isOver) {
      if (next.kind === 'end') {
        isOver = true;
        isCut = endIn(attempt, next.way, hasHead);
      } else if (next.kind === 'head' && !hasHead) {
        hasHead = true;
        attempt.answer(200, undefined);
      } else if (next.kind === 'chunk' && hasHead) {
        attempt.handlers.onChunk(Buffer.from('chunk'));
      } else if (next.kind === 'continue' || next.kind === 'pause') {
        attempt.hasRoom = next.kind === 'continue';
        attempt.handlers.onContinue();
      }
    }
  }
  await until(() => client.statuses.length > 0 || client.socket.closed);
  send(length);
  sendEnd(framing);
  client.sendHead('/next', 0);
  await until(
    () =>
      client.hasEnd ||
      client.socket.closed ||
      fixture.attempts.length > count + 1,
  );
  if (client.hasEnd || client.socket.closed) {
    expect(isCut || isClosed()).toBe(true);
    expect(fixture.attempts).toHaveLength(count + 1);
  } else {
    fixture.attempts[count + 1]?.answer(200, NEXT);
    await until(() => client.received.endsWith(NEXT));
  }
  client.socket.destroy();
}

it('leaves no connection unread in any order of parts, pauses and answers', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(...FRAMINGS),
      fc.integer({min: 100_000, max: 2 * DROPPED_REST_BYTES}),
      fc.array(step, {maxLength: 12}),
      play,
    ),
    {numRuns: 150, seed: 70},
  );
});
