// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Decisions of a once ledger, and parsing of once keys. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import {mintOnceKey, parseOnceKey} from '../onceKey.js';
import type {OnceKey} from '../onceKey.js';
import {DEFAULT_ONCE_LIMITS, OnceLedger} from '../onceLedger.js';

const HOME = {box: 'box', incarnation: 'a'};
const NOW = 1_000_000;
const random = seededRandom(1);

function key(mintedAt = NOW): OnceKey {
  const parsed = parseOnceKey(mintOnceKey(mintedAt, random, HOME));
  if (parsed === undefined) {
    throw new Error('a minted key cannot be parsed');
  }
  return parsed;
}

function answer(bytes: number) {
  return {status: 201, headers: {}, body: new Uint8Array(bytes)};
}

describe('OnceLedger', () => {
  it('runs a key once and answers repeats with the stored answer', () => {
    const ledger = new OnceLedger(HOME);
    const one = key();
    expect(ledger.begin(NOW, one, 'd').kind).toBe('run');
    expect(ledger.begin(NOW, one, 'd').kind).toBe('running');
    ledger.started(one.text);
    ledger.answered(one.text, answer(3));
    expect(ledger.begin(NOW, one, 'd')).toEqual({
      kind: 'answer',
      answer: answer(3),
    });
  });

  it('reports a refused key as refused earlier', () => {
    const ledger = new OnceLedger(HOME);
    const one = key();
    ledger.begin(NOW, one, 'd');
    ledger.refused(one.text);
    expect(ledger.begin(NOW, one, 'd').kind).toBe('refused-earlier');
  });

  it('reports an interrupted exchange as may-have-run', () => {
    const ledger = new OnceLedger(HOME);
    const one = key();
    ledger.begin(NOW, one, 'd');
    ledger.started(one.text);
    ledger.interrupted(one.text);
    expect(ledger.begin(NOW, one, 'd').kind).toBe('may-have-run');
  });

  it('detects another request with the same key', () => {
    const ledger = new OnceLedger(HOME);
    const one = key();
    ledger.begin(NOW, one, 'd');
    expect(ledger.begin(NOW, one, 'e').kind).toBe('other-request');
  });

  it('rejects a key of another process', () => {
    const ledger = new OnceLedger({...HOME, incarnation: 'b'});
    expect(ledger.begin(NOW, key(), 'd').kind).toBe('other-home');
  });

  it('never runs an evicted key again', () => {
    const ledger = new OnceLedger(HOME, {...DEFAULT_ONCE_LIMITS, keys: 100});
    const keys = Array.from({length: 300}, (_, i) => key(NOW + i));
    for (const one of keys) {
      expect(ledger.begin(NOW + 400, one, 'd').kind).toBe('run');
      ledger.started(one.text);
      ledger.answered(one.text, answer(1));
    }
    expect(ledger.size).toBeLessThanOrEqual(100);
    for (const one of keys) {
      expect(ledger.begin(NOW + 400, one, 'd').kind).not.toBe('run');
    }
  });

  it('limits stored answers by bytes and still reports evicted ones as ran', () => {
    const limits = {...DEFAULT_ONCE_LIMITS, answerBytes: 100};
    const ledger = new OnceLedger(HOME, limits);
    const keys = Array.from({length: 10}, (_, i) => key(NOW + i));
    keys.forEach((one) => {
      ledger.begin(NOW, one, 'd');
      ledger.answered(one.text, answer(30));
    });
    const kinds = keys.map((one) => ledger.begin(NOW, one, 'd').kind);
    expect(kinds.slice(0, 7)).toEqual(Array(7).fill('already-ran'));
    expect(kinds.slice(7)).toEqual(Array(3).fill('answer'));
  });

  it('refuses a key minted in the future, which would expire too late', () => {
    const ledger = new OnceLedger(HOME);
    expect(ledger.begin(NOW, key(NOW + 120_000), 'd').kind).toBe('expired');
  });
});

describe('parseOnceKey', () => {
  it('parses keys from mintOnceKey and rejects all others', () => {
    const text = mintOnceKey(NOW, random, HOME);
    expect(parseOnceKey(text)).toEqual({text, mintedAt: NOW, home: HOME});
    expect(parseOnceKey('abc')).toBeUndefined();
    expect(parseOnceKey(`${text}~more`)).toBeUndefined();
    expect(parseOnceKey(text.replace('-7', '-4'))).toBeUndefined();
  });
});
