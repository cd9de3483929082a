// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Bodies of callers that are larger than they may be, and do not say so. */

import {afterEach, beforeEach, expect, it} from 'vitest';
import {EntryFixture, until} from './__fixtures__/entryFixture.js';

const LARGEST_BYTES = 1_000_000;

let fixture: EntryFixture;

beforeEach(async () => {
  fixture = new EntryFixture();
  fixture.largestBodyBytes = LARGEST_BYTES;
  await fixture.start();
});

afterEach(() => fixture.stop());

// Guards against a body in chunks without an end, which is passed on until the deadline.
it('ends a body in chunks at the largest size, and says that it may have run', async () => {
  const client = await fixture.connect();
  client.socket.write(
    'POST /buy HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n',
  );
  const part = Buffer.from(`10000\r\n${'x'.repeat(0x10000)}\r\n`);
  const write = (): void => {
    if (!client.socket.destroyed && client.statuses.length === 0) {
      client.socket.write(part, () => setImmediate(write));
    }
  };
  write();
  const attempt = await fixture.attempt(1);
  attempt.handlers.onContinue();
  await until(() => client.statuses.length === 1);
  expect(client.received).toMatch(/body-too-large/);
  expect(client.received).toMatch(/connection: close/i);
  expect(client.received).toMatch(/unknown/);
  expect(attempt.isCancelled).toBe(true);
  expect(attempt.body.length).toBeLessThanOrEqual(LARGEST_BYTES);
  expect(fixture.attempts).toHaveLength(1);
});
