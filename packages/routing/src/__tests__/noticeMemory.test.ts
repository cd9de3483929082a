// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What an entry remembers of the notices of upstreams. */

import {describe, expect, it} from 'vitest';
import {UpstreamLoads} from '../upstreamLoads.js';
import {NoticeMemory} from '../noticeMemory.js';

const LIMITED = {incarnation: 'i', requestsPerSecond: 2, isLeaving: false};
const LEAVING = {
  incarnation: 'i',
  requestsPerSecond: undefined,
  isLeaving: true,
};

describe('NoticeMemory', () => {
  it('keeps a limit over hints of a guard that does not know it', () => {
    const memory = new NoticeMemory();
    memory.hinted('u', LIMITED);
    memory.hinted('u', undefined);
    expect(memory.of('u')).toEqual(LIMITED);
  });

  it('forgets a limit when an answer states none', () => {
    const memory = new NoticeMemory();
    memory.hinted('u', LIMITED);
    memory.answered('u', undefined);
    expect(memory.of('u')).toBeUndefined();
  });

  it('remembers for good that a process is leaving', () => {
    const memory = new NoticeMemory();
    memory.hinted('u', LEAVING);
    memory.answered('u', undefined);
    memory.hinted('u', LIMITED);
    expect(memory.of('u')).toEqual({...LIMITED, isLeaving: true});
  });

  it('does not take the next process for a leaving one', () => {
    const memory = new NoticeMemory();
    memory.hinted('u', LEAVING);
    memory.hinted('u', {...LIMITED, incarnation: 'j'});
    expect(memory.of('u')?.isLeaving).toBe(false);
  });
});

describe('an upstream at its limit', () => {
  const hint = {state: 'accepting', occupied: 0, limit: 4} as const;

  it('counts as full until it takes another call', () => {
    const loads = new UpstreamLoads();
    loads.hintReceived('u', 0, {...hint, availableIn: 700, notice: LIMITED});
    expect([loads.isFull('u', 699), loads.isFull('u', 700)]).toEqual([
      true,
      false,
    ]);
  });

  it('is the more occupied the longer its calls wait', () => {
    const loads = new UpstreamLoads();
    loads.hintReceived('near', 0, {...hint, availableIn: 100});
    loads.hintReceived('far', 0, {...hint, availableIn: 900});
    const near = loads.occupation('near', 4, 0);
    expect(near).toBeGreaterThan(1);
    expect(loads.occupation('far', 4, 0)).toBeGreaterThan(near);
    expect(loads.occupation('near', 4, 101)).toBeLessThan(1);
  });
});
