// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Log lines under load, a slow reader of them, and metrics as text. */

import {closeSync, mkdtempSync, openSync, readFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {BoundedWriter} from '../process/boundedWriter.js';
import {DecisionLog} from '../process/decisionLog.js';
import {createPrometheusMetrics} from '../process/prometheusMetrics.js';
import type {CallRecord} from '../request/callStory.js';

class World {
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

describe('DecisionLog', () => {
  it('writes who, what, under which version and how it ended', () => {
    const world = new World();
    world.log.call(record());
    expect(world.lines).toMatchObject([
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

  it('bounds calls that went well, keeps those that did not, and says so', () => {
    const world = new World();
    for (let i = 0; i < 5000; i += 1) {
      world.log.call(record());
    }
    expect(world.count('call')).toBeLessThan(500);
    world.log.call(record({outcome: 'unknown', status: 502}));
    expect(world.lines.at(-1)).toMatchObject({status: 502});
    const [leftOut] = world.lines.filter(
      ({event}) => event === 'lines-left-out',
    );
    expect(leftOut?.['count']).toBe(5000 - (world.count('call') - 1));
  });

  it('writes again when time has passed', () => {
    const world = new World();
    for (let i = 0; i < 1000; i += 1) {
      world.log.call(record());
    }
    const before = world.count('call');
    world.now = 1000;
    for (let i = 0; i < 1000; i += 1) {
      world.log.call(record());
    }
    const written = world.count('call') - before;
    expect(written).toBeGreaterThan(30);
    expect(written).toBeLessThan(100);
  });

  it('counts lines that the writer had no room for', () => {
    const world = new World();
    world.hasRoom = false;
    world.log.event('node-started', {});
    world.hasRoom = true;
    world.log.event('node-stopping', {});
    expect(world.lines).toMatchObject([
      {event: 'lines-left-out', count: 1},
      {event: 'node-stopping'},
    ]);
  });
});

describe('BoundedWriter', () => {
  it('writes lines in order, and drops what a slow reader leaves no room for', async () => {
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

describe('metrics as text', () => {
  it('count, time and level under the names of the product', async () => {
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
