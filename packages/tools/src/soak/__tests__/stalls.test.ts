// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Stalls of event loops in the reports of a soak. */

import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, it} from 'vitest';
import {checkBusyLoops} from '../checkBusyLoops.js';
import {describeStalls} from '../describeStalls.js';
import {readNodeStalls} from '../stallRecorder.js';

const UNTIL = Date.parse('2026-01-01T00:00:10.000Z');

const LINE = `{"time":"2026-01-01T00:00:10.000Z","event":"event-loop-delayed","box":"box-1","dataCentre":"d1","milliseconds":400}`;

describe('stalls of nodes', () => {
  it('are read from a log, also after the torn last line of a killed node', () => {
    const file = join(mkdtempSync(join(tmpdir(), 'lockpin-')), 'box-1.log');
    const torn = '{"time":"2026-01-01T00:00:05.000Z","event":"event-loop-del';
    writeFileSync(file, `${torn}${LINE}\n{"event":"call"}\n${LINE}\n`);
    const stall = {box: 'box-1', from: UNTIL - 400, until: UNTIL};
    expect(readNodeStalls('box-1', file)).toEqual([stall, stall]);
  });
});

describe('the description of a violation', () => {
  const stalls = [
    {box: '', from: 1000, until: 1500},
    {box: '', from: 1900, until: 2400},
    {box: 'box-1', from: 1200, until: 1400},
    {box: 'box-2', from: 1200, until: 1400},
  ];

  it('states for how long the soak and the node did not run in its span', () => {
    expect(describeStalls(stalls, 1300, 2000, ['box-1'])).toBe(
      '; did not run for: soak 300 ms, box-1 100 ms',
    );
    expect(describeStalls(stalls, 1300, 1400)).toBe(
      '; did not run for: soak 100 ms, box-1 100 ms, box-2 100 ms',
    );
  });

  it('states nothing where both ran', () => {
    expect(describeStalls(stalls, 1600, 1800, ['box-1'])).toBe('');
  });
});

it('finds event loops that did not wait', () => {
  const file = join(mkdtempSync(join(tmpdir(), 'lockpin-')), 'box-1.log');
  const line = '{"event":"event-loop-busy","turnsPerSecond":100000}';
  writeFileSync(file, `{"event":"node-started"}\n${line}\n`);
  expect(checkBusyLoops('box-1', file)).toEqual([
    {guarantee: 'event loops wait for work', subject: 'box-1', detail: line},
  ]);
});
