// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Filtering of the headers that pass through a node. */

import {describe, expect, it} from 'vitest';
import {answerHeaders, callHeaders} from '../request/headers.js';

describe('headers', () => {
  it('pass unchanged, including repeated ones', () => {
    const raw = ['Host', 'a', 'X-One', '1', 'x-one', '2'];
    expect(callHeaders(raw)).toEqual(raw);
    expect(answerHeaders(raw)).toEqual(raw);
  });

  it('are dropped when they are hop-by-hop', () => {
    const raw = ['Keep-Alive', '5', 'TE', 'x', 'Upgrade', 'y', 'A', 'b'];
    expect(callHeaders(raw)).toEqual(['A', 'b']);
  });

  it('are dropped when the Connection header lists them', () => {
    const raw = ['Connection', 'X-Hop, keep-alive', 'X-Hop', '1', 'A', 'b'];
    expect(callHeaders(raw)).toEqual(['A', 'b']);
    expect(answerHeaders(raw)).toEqual(['A', 'b']);
  });
});
