// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Requests that are sent behind each other on one connection. */

import type {Socket} from 'node:net';
import fc from 'fast-check';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {ConnectionTurns} from '../request/connectionTurns.js';
import type {Turn} from '../request/connectionTurns.js';
import {EntryFixture, until} from './__fixtures__/entryFixture.js';
import type {EntryClient} from './__fixtures__/entryFixture.js';

let fixture: EntryFixture;
let client: EntryClient;

beforeEach(async () => {
  fixture = new EntryFixture();
  await fixture.start();
  client = await fixture.connect();
});

afterEach(() => fixture.stop());

/** Lets the entry see a first answer on the route. */
async function answerFirst(isLong: boolean): Promise<void> {
  const {length} = fixture.attempts;
  client.sendHead('/before', 0);
  const attempt = await fixture.attempt(length + 1);
  attempt.answer(200, isLong ? undefined : 'before');
  if (isLong) {
    attempt.handlers.onEnd();
  }
  await until(() => client.statuses.length === 1);
}

/** Waits until the entry has read what the client has sent. */
async function turns(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 50));
}

describe('a request behind one with a long answer', () => {
  beforeEach(async () => {
    await answerFirst(true);
    client.sendHead('/long', 0);
    client.sendHead('/next', 0);
    await fixture.attempt(2);
    await turns();
  });

  it('is not passed on, and not lost, if that answer breaks off', async () => {
    const attempt = await fixture.attempt(2);
    attempt.answer(200, undefined);
    attempt.handlers.onChunk(Buffer.from('half'));
    await turns();
    attempt.handlers.onLost(true);
    await until(() => client.socket.closed);
    await turns();
    expect(fixture.attempts).toHaveLength(2);
  });

  it('is served once that answer is whole', async () => {
    const attempt = await fixture.attempt(2);
    attempt.answer(200, undefined);
    attempt.handlers.onChunk(Buffer.from('long'));
    await turns();
    expect(fixture.attempts).toHaveLength(2);
    attempt.handlers.onEnd();
    (await fixture.attempt(3)).answer(200, 'next');
    await until(() => client.received.endsWith('next'));
    expect(client.statuses).toEqual([200, 200, 200]);
  });

  it('is served if that one is refused', async () => {
    (await fixture.attempt(2)).refuse('upstream-failed', 'unknown');
    (await fixture.attempt(3)).answer(200, 'next');
    await until(() => client.received.endsWith('next'));
    expect(client.statuses).toEqual([200, 502, 200]);
  });

  it('is not passed on if its caller leaves meanwhile', async () => {
    client.socket.destroy();
    await until(() => fixture.attempts[1]?.isCancelled === true);
    await turns();
    expect(fixture.attempts).toHaveLength(2);
  });
});

it('counts the time of a request from its arrival, not from its turn', async () => {
  await answerFirst(true);
  fixture.waitMilliseconds = 300;
  client.sendHead('/long', 0);
  client.sendHead('/next', 0);
  const attempt = await fixture.attempt(2);
  await new Promise((resolve) => setTimeout(resolve, 100));
  attempt.answer(200, undefined);
  attempt.handlers.onEnd();
  const next = await fixture.attempt(3);
  expect(next.head.remaining).toBeLessThanOrEqual(200);
});

it('is passed on at once behind requests with short answers', async () => {
  await answerFirst(false);
  ['/a', '/b', '/c'].forEach((path) => client.sendHead(path, 0));
  await fixture.attempt(4);
  for (const index of [4, 3, 2]) {
    (await fixture.attempt(index)).answer(200, `answer ${index}`);
  }
  await until(() => client.statuses.length === 4);
  expect(client.received.match(/answer \d/g)).toEqual([
    'answer 2',
    'answer 3',
    'answer 4',
  ]);
});

it('is not passed on behind an answer that breaks off before its own turn', async () => {
  await answerFirst(false);
  ['/a', '/long'].forEach((path) => client.sendHead(path, 0));
  const long = await fixture.attempt(3);
  long.answer(200, undefined);
  client.sendHead('/next', 0);
  await turns();
  long.handlers.onLost(true);
  await turns();
  (await fixture.attempt(2)).answer(200, 'first');
  await until(() => client.socket.closed);
  expect(client.received.endsWith('first')).toBe(true);
  expect(fixture.attempts).toHaveLength(3);
});

it('waits behind an answer that turns out long', async () => {
  await answerFirst(false);
  client.sendHead('/long', 0);
  (await fixture.attempt(2)).answer(200, undefined);
  client.sendHead('/next', 0);
  await turns();
  expect(fixture.attempts).toHaveLength(2);
  (await fixture.attempt(2)).handlers.onEnd();
  await fixture.attempt(3);
});

type Step = {
  readonly kind: 'enter' | 'safe' | 'risky' | 'begun' | 'settled';
  readonly index: number;
};

const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom(
    'enter' as const,
    'enter' as const,
    'safe' as const,
    'risky' as const,
    'begun' as const,
    'settled' as const,
    'settled' as const,
  ),
  index: fc.nat({max: 8}),
});

it('lets requests in in order, and none behind one that may break off', () => {
  fc.assert(
    fc.property(fc.array(step, {maxLength: 60}), (steps) => {
      const socket = {} as Socket;
      const queue = new ConnectionTurns();
      const states: string[] = [];
      const letIn: Turn[] = [];
      const apply = ({kind, index}: Step): void => {
        const turn = letIn[index];
        if (kind === 'enter') {
          const number = states.push('waiting') - 1;
          queue.enter(socket, (entered) => {
            expect(number).toBe(letIn.length);
            expect(
              states
                .slice(0, number)
                .every((state) => state === 'safe' || state === 'settled'),
            ).toBe(true);
            states[number] = 'arriving';
            letIn.push(entered);
          });
        } else if (turn !== undefined && states[index] !== 'settled') {
          states[index] = kind === 'begun' ? 'risky' : kind;
          if (kind === 'begun') {
            turn.begun();
          } else if (kind === 'settled') {
            turn.settled();
          } else {
            turn.started(kind === 'risky');
          }
        }
      };
      steps.forEach(apply);
      for (let index = 0; index < states.length; index += 1) {
        apply({kind: 'settled', index});
      }
      expect(letIn).toHaveLength(states.length);
    }),
    {numRuns: 500, seed: 70},
  );
});
