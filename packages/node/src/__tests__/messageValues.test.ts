// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Bounds of the values in messages between nodes. */

import {deflateRawSync} from 'node:zlib';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  decode,
  encode,
  encodeDocument,
  tryDecodeDocument,
} from '../connection/codec.js';
import {MAXIMUM_VALUES, hasBoundedValues} from '../connection/messageValues.js';
import {decodeFrame, encodeFrame} from '../request/frames.js';
import {EXAMPLE_FRAMES} from './__fixtures__/exampleFrames.js';

const RUNS = {numRuns: 1000, seed: 69};

/** The bytes that begin a list of as many values as they name. */
function listOf(count: number): Buffer {
  const bytes = Buffer.from([0xdd, 0, 0, 0, 0]);
  bytes.writeUInt32BE(count, 1);
  return bytes;
}

describe('a message between nodes', () => {
  it('has at least as many values as its list, and no more than bytes', () => {
    const values = fc.oneof(
      fc.jsonValue({maxDepth: 6}),
      fc.uint8Array({maxLength: 70_000}).map((bytes) => Buffer.from(bytes)),
      fc.string({maxLength: 70_000}),
      fc.array(fc.record({a: fc.double(), b: fc.bigInt({min: 0n, max: 9n})})),
    );
    fc.assert(
      fc.property(fc.array(values, {maxLength: 5}), (list) => {
        const bytes = encode(list);
        expect(hasBoundedValues(bytes, 2 * bytes.length)).toBe(true);
        expect(hasBoundedValues(bytes, list.length)).toBe(false);
        decode(bytes);
      }),
      RUNS,
    );
  });

  it('counts the values of an example of each kind as one that is decoded', () => {
    const text = 'x'.repeat(70_000);
    const examples = [text, Buffer.from(text), [[text]], {a: text, b: [1.5]}];
    expect(
      examples.map((example) => hasBoundedValues(encode(example), 8)),
    ).toEqual([true, true, true, true]);
    const frames = EXAMPLE_FRAMES.map((frame) =>
      decodeFrame(encodeFrame(frame)),
    );
    expect(frames).toEqual(EXAMPLE_FRAMES);
  });

  it('may have the records of a thousand boxes with all that they hold', () => {
    const runs = Array.from({length: 8}, (_, i) => ({digest: `d${i}`, at: i}));
    const boxes = Array.from({length: 1000}, (_, i) => ({
      box: `box-${i}`,
      dataCentre: 'd1',
      peerAddress: `10.0.0.${i}:7380`,
      slots: i,
      statedAt: 1.7e12 + i,
      runs,
      left: ['i-1', 'i-2', 'i-3', 'i-4'],
    }));
    const document = {configuration: undefined, boxes};
    expect(tryDecodeDocument(encodeDocument(document))).toEqual(document);
  });

  // Guards against a process that a peer's few bytes bring to its heap limit.
  it.each([
    ['a list that names a quarter of a gigabyte', listOf(2 ** 25 - 2)],
    [
      'lists that name much together',
      Buffer.concat(Array(40).fill(listOf(1e5))),
    ],
    ['many empty lists', Buffer.alloc(MAXIMUM_VALUES + 1, 0x90)],
    ['many empty tables', Buffer.alloc(MAXIMUM_VALUES + 1, 0x80)],
  ])('is refused before it is decoded: %s', (_, bytes) => {
    expect(() => decode(bytes)).toThrow('too many values');
    const deflated = Buffer.concat([Buffer.from([1]), deflateRawSync(bytes)]);
    expect(tryDecodeDocument(deflated)).toBeUndefined();
  });
});
