// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** No guard gets a body without its beginning. */

import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {RefusalReason} from '@lockpin/types';
import {EntryFixture, bodyOf, until} from './__fixtures__/entryFixture.js';
import type {EntryClient} from './__fixtures__/entryFixture.js';

/** Too long to be held. */
const BODY = bodyOf(200_000);
const HALF = BODY.length / 2;

const REASONS: readonly RefusalReason[] = [
  'upstream-replaced',
  'node-leaving',
  'upstream-busy',
  'upstream-refused',
  'upstream-unreachable',
];

let fixture: EntryFixture;
let client: EntryClient;

/** How a client frames a body. */
interface Framing {
  readonly sendHead: () => void;
  readonly sendPart: (bytes: Buffer) => void;
  readonly sendEnd: () => void;
}

const FRAMINGS: readonly (readonly [string, Framing])[] = [
  [
    'with a length',
    {
      sendHead: () => client.sendHead('/long', BODY.length),
      sendPart: (bytes) => client.socket.write(bytes),
      sendEnd: () => undefined,
    },
  ],
  [
    'in chunks',
    {
      sendHead: () => client.sendHead('/long', 'chunked'),
      sendPart: (bytes) => client.sendChunk(bytes),
      sendEnd: () => client.sendLastChunk(),
    },
  ],
];

beforeEach(async () => {
  fixture = new EntryFixture();
  await fixture.start();
  client = await fixture.connect();
});

afterEach(() => fixture.stop());

describe.each(FRAMINGS)('a long body %s', (_name, framing) => {
  it.each(REASONS)(
    'goes to no other guard once a part of it is sent: %s',
    async (reason) => {
      framing.sendHead();
      framing.sendPart(BODY.subarray(0, HALF));
      const first = await fixture.attempt(1);
      first.handlers.onContinue();
      await until(() => first.body.length === HALF);
      first.refuse(reason);
      framing.sendPart(BODY.subarray(HALF));
      framing.sendEnd();
      await until(() => client.statuses.length > 0);
      expect(client.statuses).toEqual([503]);
      expect(client.received).toMatch(/lockpin-outcome: not-run/);
      expect(client.received).toMatch(/retry-after: \d+/);
      expect(fixture.attempts).toHaveLength(1);
    },
  );

  it.each(REASONS)(
    'goes whole to another guard if none of it was sent: %s',
    async (reason) => {
      framing.sendHead();
      framing.sendPart(BODY.subarray(0, HALF));
      (await fixture.attempt(1)).refuse(reason);
      const second = await fixture.attempt(2);
      framing.sendPart(BODY.subarray(HALF));
      framing.sendEnd();
      second.handlers.onContinue();
      await until(() => second.hasEnd);
      expect(second.body.equals(BODY)).toBe(true);
      second.answer(200, 'done');
      await until(() => client.statuses.length > 0);
      expect(client.statuses).toEqual([200]);
    },
  );

  it('keeps what arrives between two guards that take it', async () => {
    framing.sendHead();
    const first = await fixture.attempt(1);
    first.handlers.onContinue();
    first.refuse('upstream-replaced');
    framing.sendPart(BODY);
    framing.sendEnd();
    const second = await fixture.attempt(2);
    second.handlers.onContinue();
    await until(() => second.hasEnd);
    expect(second.body.equals(BODY)).toBe(true);
  });
});

it('sends a body that is held to another guard after a refusal', async () => {
  client.sendHead('/short', 9);
  client.socket.write('123456789');
  (await fixture.attempt(1)).refuse('upstream-replaced');
  const second = await fixture.attempt(2);
  expect(Buffer.from(second.head.body ?? '').toString()).toBe('123456789');
});
