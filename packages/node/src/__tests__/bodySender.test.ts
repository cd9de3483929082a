// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Streamed bodies in all orders of their parts and of the guards that ask. */

import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import fc from 'fast-check';
import {expect, it} from 'vitest';
import {BodySender} from '../request/bodySender.js';

type Step =
  | {readonly kind: 'arrive'; readonly bytes: number}
  | {readonly kind: 'end' | 'detach'}
  | {
      readonly kind: 'continue';
      readonly guard: number;
      readonly hasRoom: boolean;
    };

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.record({
    kind: fc.constant('arrive' as const),
    bytes: fc.integer({min: 1, max: 40_000}),
  }),
  fc.record({kind: fc.constantFrom('end' as const, 'detach' as const)}),
  fc.record({
    kind: fc.constant('continue' as const),
    guard: fc.nat({max: 2}),
    hasRoom: fc.boolean(),
  }),
);

/** What a guard got of a body. */
interface PlayedGuard {
  body: string;
  hasEnd: boolean;
  hasRoom: boolean;
  readonly sendChunk: (bytes: Buffer) => boolean;
  readonly sendEnd: () => void;
}

function createGuard(): PlayedGuard {
  const guard: PlayedGuard = {
    body: '',
    hasEnd: false,
    hasRoom: true,
    sendChunk: (bytes) => {
      guard.body += bytes.toString();
      return guard.hasRoom;
    },
    sendEnd: () => {
      guard.hasEnd = true;
    },
  };
  return guard;
}

function turn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

it('gives one guard the body from its beginning, and the others nothing', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, {maxLength: 25}), async (steps) => {
      const request = new PassThrough({highWaterMark: 1 << 20});
      const guards = [createGuard(), createGuard(), createGuard()];
      let begun = 0;
      let sent = '';
      const sender = new BodySender({
        request: request as unknown as IncomingMessage,
        largestBytes: Number.POSITIVE_INFINITY,
        onBegun: () => (begun += 1),
        onTooLarge: () => undefined,
      });
      for (const next of steps) {
        if (next.kind === 'arrive' && !request.writableEnded) {
          const part = String(sent.length).padEnd(next.bytes, '.');
          sent += part;
          request.write(part);
        } else if (next.kind === 'end') {
          request.end();
        } else if (next.kind === 'detach') {
          sender.detach();
        } else if (next.kind === 'continue') {
          const guard = guards[next.guard] as PlayedGuard;
          guard.hasRoom = next.hasRoom;
          sender.continueTo(guard);
        }
        await turn();
      }
      const given = guards.filter(({body, hasEnd}) => body !== '' || hasEnd);
      expect(given.length).toBeLessThan(2);
      expect(begun).toBe(given.length);
      given.forEach(({body, hasEnd}) => {
        expect(sent.startsWith(body)).toBe(true);
        expect(hasEnd ? body : sent).toBe(sent);
      });
      expect(sender.takenBytes).toBe(given[0]?.body.length ?? 0);
    }),
    {numRuns: 300, seed: 70},
  );
});
