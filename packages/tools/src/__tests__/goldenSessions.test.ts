// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Compares the timeline events of simulated sessions with golden files. */

import {describe, expect, it} from 'vitest';
import {SERVICES} from '../measure/scenarios.js';
import type {Fault} from '../measure/scenarios.js';
import {runService} from '../measure/serviceRun.js';

interface Session {
  readonly name: string;
  readonly fault: Fault;
  readonly faultSeconds: number;
}

const SESSIONS: readonly Session[] = [
  {name: 'errors', fault: {kind: 'errors', share: 1}, faultSeconds: 20},
  {name: 'slowness', fault: {kind: 'slow', factor: 10}, faultSeconds: 20},
  {
    name: 'flapping',
    fault: {kind: 'flapping', milliseconds: 4000},
    faultSeconds: 40,
  },
  {name: 'cut', fault: {kind: 'cut'}, faultSeconds: 15},
  {
    name: 'overload',
    fault: {kind: 'shared-slowness', factor: 3},
    faultSeconds: 30,
  },
];

describe.each(SERVICES)('a session of $name', (service) => {
  it.each(SESSIONS)('matches its golden file under $name', async (session) => {
    const {fault, faultSeconds, name} = session;
    const seconds = 70;
    const result = runService({
      service,
      fault,
      faultSeconds,
      seconds,
      seed: 42,
    });
    const {calls, refusedOrFailed, falseEjections, floorBroken} = result;
    const summary = `calls ${calls}, refused ${refusedOrFailed}, false ejections ${falseEjections}, floor broken ${floorBroken}`;
    const text = [...result.events, summary, ''].join('\n');
    const file = `${service.name} ${name}`.replaceAll(' ', '-');
    await expect(text).toMatchFileSnapshot(`./__snapshots__/${file}.txt`);
  });
});
