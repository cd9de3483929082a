// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The memory for bodies that arrive. */

import type {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {describe, expect, it} from 'vitest';
import {HeldBodies} from '../request/heldBodies.js';
import {readBody} from '../request/readBody.js';

function arriving(): PassThrough & IncomingMessage {
  return new PassThrough() as PassThrough & IncomingMessage;
}

describe('bodies that arrive', () => {
  it('are cut from the slowest on once they take too much memory', async () => {
    const bodies = new HeldBodies(300);
    const requests = Array.from({length: 4}, arriving);
    const reads = requests.map((request) => readBody(request, 1000, bodies));
    requests.forEach((request) => request.write(Buffer.alloc(100)));
    expect(await reads[0]).toBe('slow');
    requests.slice(1).forEach((request) => request.end());
    const whole = await Promise.all(reads.slice(1));
    expect(whole.map(({length}) => length)).toEqual([100, 100, 100]);
  });

  it('leave their memory to others when they end in any way', async () => {
    const bodies = new HeldBodies(150);
    const [whole, cut, long, last] = Array.from({length: 4}, arriving);
    for (const [request, end] of [
      [whole, () => whole?.end()],
      [cut, () => cut?.destroy()],
      [long, () => long?.write(Buffer.alloc(1000))],
      [last, () => last?.end()],
    ] as const) {
      const read = readBody(request as IncomingMessage, 500, bodies);
      (request as PassThrough).write(Buffer.alloc(100));
      await new Promise((resolve) => setImmediate(resolve));
      end();
      expect(await read).not.toBe('slow');
    }
  });
});
