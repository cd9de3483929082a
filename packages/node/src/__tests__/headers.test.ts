// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which headers pass through a node. */

import {describe, expect, it} from 'vitest';
import {answerHeaders, callHeaders} from '../request/headers.js';

describe('headers', () => {
  it('pass as they came, doubled ones too', () => {
    const raw = ['Host', 'a', 'X-One', '1', 'x-one', '2'];
    expect(callHeaders(raw)).toEqual(raw);
    expect(answerHeaders(raw)).toEqual(raw);
  });

  it('stay behind when they concern one connection', () => {
    const raw = ['Keep-Alive', '5', 'TE', 'x', 'Upgrade', 'y', 'A', 'b'];
    expect(callHeaders(raw)).toEqual(['A', 'b']);
  });

  it('stay behind when their sender names them as such', () => {
    const raw = ['Connection', 'X-Hop, keep-alive', 'X-Hop', '1', 'A', 'b'];
    expect(callHeaders(raw)).toEqual(['A', 'b']);
    expect(answerHeaders(raw)).toEqual(['A', 'b']);
  });
});
