// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Requests with an unknown key wait a limited time for a reader's reply. */

import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {KeyConfirmation} from '../process/keyConfirmation.js';

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

describe('KeyConfirmation', () => {
  it('passes the reply of the reader to all waiting requests', async () => {
    const keys = new KeyConfirmation(() => true);
    const waiting = [keys.confirm(), keys.confirm()];
    keys.answered(true);
    expect(await Promise.all(waiting)).toEqual([true, true]);
  });

  it('times out if the reader does not reply', async () => {
    const keys = new KeyConfirmation(() => true);
    const waiting = keys.confirm();
    await vi.advanceTimersByTimeAsync(300);
    expect(await waiting).toBe(false);
  });

  it('does not wait if no reader is reachable', async () => {
    const keys = new KeyConfirmation(() => false);
    expect(await keys.confirm()).toBe(false);
  });

  it('holds no more than a hundred requests', async () => {
    const keys = new KeyConfirmation(() => true);
    const held = Array.from({length: 100}, () => keys.confirm());
    expect(await keys.confirm()).toBe(false);
    keys.answered(true);
    expect(new Set(await Promise.all(held))).toEqual(new Set([true]));
  });
});
