// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Explaining a request from log lines. */

import {describe, expect, it} from 'vitest';
import {explainCall, parseLogLine} from '../callExplanation.js';
import type {LogLine} from '../callExplanation.js';

const LINES: readonly LogLine[] = [
  {
    time: '2026-01-01T00:00:01.000Z',
    event: 'upstream-doubted',
    box: 'guard',
    subject: 's/guard',
    remaining: 2000,
  },
  {
    time: '2026-01-01T00:00:01.000Z',
    event: 'upstream-doubted',
    box: 'elsewhere',
    subject: 's/elsewhere',
  },
  {
    time: '2026-01-01T00:00:02.500Z',
    event: 'guard-call',
    box: 'guard',
    requestId: 'x',
    outcome: 'unknown',
    reason: 'upstream-failed',
  },
  {
    time: '2026-01-01T00:00:02.502Z',
    event: 'call',
    box: 'entry',
    requestId: 'x',
    status: 502,
    milliseconds: 40,
    attempts: [{box: 'guard', terms: 'immediate', end: 'upstream-failed'}],
  },
  {
    time: '2026-01-01T00:00:02.502Z',
    event: 'call',
    box: 'entry',
    requestId: 'y',
  },
];

describe('explainCall', () => {
  it('returns the lines of a request with the context events of its boxes', () => {
    expect(explainCall(LINES, 'x')).toEqual([
      '2026-01-01T00:00:01.000Z  guard  upstream-doubted  subject=s/guard remaining=2000',
      '2026-01-01T00:00:02.500Z  guard  guard-call  outcome=unknown reason=upstream-failed',
      '2026-01-01T00:00:02.502Z  entry  call  status=502 milliseconds=40',
      '    offer 1 to guard: terms=immediate end=upstream-failed',
    ]);
  });

  it.each([
    ['upstream-limited', {requestsPerSecond: 2.5}],
    ['upstream-leaving', {}],
  ])('shows %s events of the boxes involved', (event, detail) => {
    const stated = {
      time: '2026-01-01T00:00:02.000Z',
      event,
      box: 'guard',
      subject: 's/guard',
      ...detail,
    };
    expect(explainCall([...LINES, stated], 'x').join('\n')).toContain(event);
  });

  it('returns no lines for an unknown request', () => {
    expect(explainCall(LINES, 'z')).toEqual([]);
  });
});

describe('parseLogLine', () => {
  it('parses a line with a prefix added by a log collector', () => {
    const line = parseLogLine(
      '12.5 box-1 {"time":"t","event":"call","box":"b"}',
    );
    expect(line).toMatchObject({event: 'call'});
  });

  it.each(['', 'plain text', '{"time":"t"}', '{broken'])(
    'ignores %j',
    (text) => {
      expect(parseLogLine(text)).toBeUndefined();
    },
  );
});
