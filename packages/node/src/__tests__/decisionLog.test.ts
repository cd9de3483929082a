// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Log rate limits, back-pressure from a slow log reader, and text metrics. */

import {closeSync, mkdtempSync, openSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {BoundedWriter} from '../process/boundedWriter.js';
import {DecisionLog} from '../process/decisionLog.js';
import {createPrometheusMetrics} from '../process/prometheusMetrics.js';
import type {CallRecord} from '../request/attemptHistory.js';
import type {CallHead} from '../request/frames.js';
import type {GuardRecord} from '../request/guardRecord.js';
import {NO_NOTICE} from '../request/upstreamNotice.js';

class TestLog {
  now = 0;
  hasRoom = true;
  readonly lines: Readonly<Record<string, unknown>>[] = [];
  readonly log = new DecisionLog({
    clock: () => this.now,
    common: {box: 'b'},
    writeLine: (line) => {
      if (this.hasRoom) {
        this.lines.push(JSON.parse(line));
      }
      return this.hasRoom;
    },
  });

  count(event: string): number {
    return this.lines.filter((line) => line['event'] === event).length;
  }
}

function record(change: Partial<CallRecord> = {}): CallRecord {
  return {
    requestId: 'x',
    requestDigest: 'd',
    service: 's',
    route: 'r',
    version: 3,
    outcome: 'answered',
    reason: '',
    status: 200,
    milliseconds: 5,
    attempts: [],
    ...change,
  };
}

function guardRecord(): GuardRecord {
  return {
    head: {requestId: 'x', route: 'r'} as CallHead,
    upstream: 'u',
    outcome: 'answered',
    reason: '',
    doubtReason: undefined,
    limit: undefined,
    limits: undefined,
    status: 200,
    notice: undefined,
    waitedMilliseconds: 1,
    ranMilliseconds: 2,
  };
}

describe('DecisionLog', () => {
  it.each([
    [{requestsPerSecond: 2.6}, {statedLimit: 2.6}],
    [{unreadableLimit: 'many'}, {statedLimit: 'many'}],
    [{isLeaving: true}, {statedLeaving: true}],
    [{}, {}],
  ])('writes that an upstream states %j', (stated, fields) => {
    const harness = new TestLog();
    const notice = {...NO_NOTICE, ...stated};
    harness.log.guardCall({...guardRecord(), notice});
    const {statedLimit, statedLeaving} = harness.lines[0] ?? {};
    expect({statedLimit, statedLeaving}).toEqual(fields);
  });

  it('writes what limits the calls to an upstream', () => {
    const harness = new TestLog();
    const limits = {concurrencyLimit: 3, concurrencyLimitAge: 40, running: 2};
    harness.log.guardCall({
      ...guardRecord(),
      limits: {...limits, retriesLeft: 1},
    });
    expect(harness.lines).toMatchObject([{...limits, retriesLeft: 1}]);
  });

  it('writes request, configuration version and status of a call', () => {
    const harness = new TestLog();
    harness.log.call(record());
    expect(harness.lines).toMatchObject([
      {
        time: '1970-01-01T00:00:00.000Z',
        event: 'call',
        box: 'b',
        requestId: 'x',
        requestDigest: 'd',
        version: 3,
        status: 200,
      },
    ]);
  });

  it('limits lines of successful calls, keeps failed ones and counts omitted lines', () => {
    const harness = new TestLog();
    for (let i = 0; i < 5000; i += 1) {
      harness.log.call(record());
    }
    expect(harness.count('call')).toBeLessThan(500);
    harness.log.call(record({outcome: 'unknown', status: 502}));
    expect(harness.lines.at(-1)).toMatchObject({status: 502});
    const [leftOut] = harness.lines.filter(
      ({event}) => event === 'lines-left-out',
    );
    expect(leftOut?.['count']).toBe(5000 - (harness.count('call') - 1));
  });

  it('writes lines again after time has passed', () => {
    const harness = new TestLog();
    for (let i = 0; i < 1000; i += 1) {
      harness.log.call(record());
    }
    const before = harness.count('call');
    harness.now = 1000;
    for (let i = 0; i < 1000; i += 1) {
      harness.log.call(record());
    }
    const written = harness.count('call') - before;
    expect(written).toBeGreaterThan(30);
    expect(written).toBeLessThan(100);
  });

  it('counts lines that the writer did not accept', () => {
    const harness = new TestLog();
    harness.hasRoom = false;
    harness.log.event('node-started', {});
    harness.hasRoom = true;
    harness.log.event('node-stopping', {});
    expect(harness.lines).toMatchObject([
      {event: 'lines-left-out', count: 1},
      {event: 'node-stopping'},
    ]);
  });
});

describe('BoundedWriter', () => {
  it('writes lines in order and drops lines when the reader is too slow', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'lockpin-log-'));
    const file = join(folder, 'lines');
    const descriptor = openSync(file, 'w');
    const writer = new BoundedWriter(descriptor);
    const long = 'x'.repeat(1000);
    const taken = Array.from({length: 400}, (_, i) =>
      writer.writeLine(`${i} ${long}`),
    ).filter(Boolean).length;
    expect(taken).toBeLessThan(400);
    expect(writer.counts).toEqual({written: taken, dropped: 400 - taken});
    writer.flush();
    await expect
      .poll(() => readFileSync(file, 'utf8').split('\n').length)
      .toBe(taken + 1);
    closeSync(descriptor);
    const numbers = readFileSync(file, 'utf8')
      .trim()
      .split('\n')
      .map((line) => Number(line.split(' ')[0]));
    expect(numbers).toEqual(numbers.map((_, i) => i));
  });
});

describe('Prometheus metrics', () => {
  it('exports counters, histograms and gauges with the lockpin prefix', async () => {
    const metrics = createPrometheusMetrics();
    metrics.increment('calls.refused', {reason: 'queue-full'});
    metrics.increment('calls.refused', {reason: 'queue-full'});
    metrics.timing('calls.milliseconds', 42);
    metrics.gauge('configuration.version', 7);
    const text = await metrics.text();
    expect(text).toContain('lockpin_calls_refused{reason="queue-full"} 2');
    expect(text).toContain('lockpin_calls_milliseconds_bucket{le="50"} 1');
    expect(text).toContain('lockpin_calls_milliseconds_bucket{le="20"} 0');
    expect(text).toContain('lockpin_configuration_version 7');
  });
});
