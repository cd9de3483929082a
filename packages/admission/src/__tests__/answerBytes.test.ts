// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Bounds on the bytes of answers that are buffered for callers. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {AnswerBytes, answerBounds} from '../answerBytes.js';
import type {AnswerAccount, AnswerBound} from '../answerBytes.js';

const BOUNDS = {total: 1000, call: 300};

/** Buffers bytes for several calls of one customer, 200 for each. */
function buffer(bytes: AnswerBytes, customer: string, calls: number): void {
  for (let i = 0; i < calls; i += 1) {
    bytes.add(bytes.open(customer), 200);
  }
}

/** Opens calls of one customer until it reaches its bound. */
function fill(bytes: AnswerBytes, size: number): readonly AnswerAccount[] {
  const accounts: AnswerAccount[] = [];
  let bound: AnswerBound | undefined;
  while (bound === undefined) {
    const account = bytes.open('c');
    bytes.add(account, size);
    bound = bytes.reached(account);
    accounts.push(account);
  }
  return accounts;
}

describe('the bounds on buffered answers', () => {
  it('hold the largest answers of 180 slow readers on the smallest box', () => {
    const {total, call} = answerBounds(250 * 1024 * 1024);
    expect(call).toBeGreaterThan(540 * 1024);
    const {length} = fill(new AnswerBytes({total, call}), 540 * 1024);
    expect(length).toBeGreaterThan(180);
  });

  it('stop one long answer from using the memory of the others', () => {
    const bytes = new AnswerBytes(BOUNDS);
    const account = bytes.open('a');
    bytes.add(account, 300);
    expect(bytes.reached(account)).toBe('call');
    expect(bytes.release(account, 1)).toEqual([]);
    expect(bytes.reached(account)).toBeUndefined();
  });

  it('stop the slow readers of one customer from using all memory', () => {
    const bytes = new AnswerBytes(BOUNDS);
    buffer(bytes, 'flood', 4);
    const flood = bytes.open('flood');
    const other = bytes.open('other');
    bytes.add(flood, 1);
    bytes.add(other, 120);
    expect(bytes.reached(flood)).toBe('customer');
    expect(bytes.reached(other)).toBeUndefined();
  });

  it('stop all calls with buffered bytes at the total, and no other call', () => {
    const bytes = new AnswerBytes(BOUNDS);
    ['a', 'b', 'c', 'd', 'e'].forEach((name) => buffer(bytes, name, 1));
    const empty = bytes.open('f');
    const other = bytes.open('g');
    bytes.add(other, 1);
    expect(bytes.reached(other)).toBe('total');
    expect(bytes.reached(empty)).toBeUndefined();
  });

  it('resume blocked calls when others end, the one blocked longest first', () => {
    const bytes = new AnswerBytes(BOUNDS);
    const large = bytes.open('a');
    bytes.add(large, 999);
    const blocked = ['b', 'c'].map((customer) => bytes.open(customer));
    blocked.forEach((account) => {
      bytes.add(account, 10);
      bytes.block(account);
    });
    expect(bytes.release(large, 1)).toEqual([]);
    expect(bytes.close(large)).toEqual(blocked);
    expect(bytes.close(large)).toEqual([]);
  });
});

it('releases exactly what was added, in whatever order calls end', () => {
  const steps = fc.array(
    fc.record({
      call: fc.nat(5),
      kind: fc.constantFrom('add', 'release', 'close', 'block' as const),
      bytes: fc.nat(500),
    }),
  );
  fc.assert(
    fc.property(steps, (taken) => {
      const bytes = new AnswerBytes(BOUNDS);
      const accounts = Array.from({length: 6}, (_, i) =>
        bytes.open(`customer-${i % 2}`),
      );
      for (const {call, kind, bytes: count} of taken) {
        const account = accounts[call] as (typeof accounts)[number];
        if (kind === 'add') {
          bytes.add(account, count);
        } else if (kind === 'release') {
          bytes.release(account, count);
        } else {
          bytes[kind](account);
        }
        const sum = accounts.reduce((total, item) => total + item.bytes, 0);
        expect(bytes.used).toBe(sum);
      }
      accounts.forEach((account) => bytes.close(account));
      expect(bytes.used).toBe(0);
      expect(bytes.reached(accounts[0] as never)).toBeUndefined();
    }),
    {seed: 1},
  );
});
