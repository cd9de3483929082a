// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Complete nodes whose log is restored from an outdated copy. */

import {setTimeout as pause} from 'node:timers/promises';
import {request} from 'undici';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {OPERATOR_TOKEN} from '../harness/nodeProcess.js';
import {startSmallFleet} from '../harness/smallFleet.js';
import type {SmallFleet} from '../harness/smallFleet.js';
import {waitUntil} from '../harness/waitUntil.js';

let fleet: SmallFleet;

beforeAll(async () => {
  fleet = await startSmallFleet();
});

afterAll(async () => {
  await fleet.stop();
});

async function api(path: string, at: number, change?: object) {
  const address = fleet.nodes[at]?.operatorAddress ?? '';
  const answer = await request(`http://${address}${path}`, {
    method: change === undefined ? 'GET' : 'POST',
    headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
    body: change === undefined ? null : JSON.stringify(change),
  });
  return {status: answer.statusCode, body: await answer.body.json()};
}

function submitChange(name: string, at: number) {
  const spec = {fairShareWeight: 1};
  const write = {operation: 'put', kind: 'Customer', name, basedOn: 0, spec};
  return api('/changes', at, {writes: [write]});
}

function recordCount(): number {
  return fleet.platform.log.records('configuration').length;
}

describe('changes that a restored log has lost', () => {
  it('stay in force and are rewritten once, and later changes are accepted', async () => {
    await pause(200);
    const copiedAt = Date.now();
    await pause(50);
    for (const [at, name] of ['first', 'second', 'third'].entries()) {
      expect((await submitChange(name, at)).status).toBe(200);
    }
    const before = recordCount();
    fleet.platform.log.restore(Date.now() - copiedAt);
    expect(recordCount()).toBe(before - 3);
    const isRestored = (): boolean =>
      fleet.nodes.every(
        ({host}) =>
          host.control.replica.era === 2 && !host.control.restores.isPending,
      );
    await waitUntil(isRestored);
    expect(recordCount()).toBe(before);
    expect((await submitChange('fourth', 1)).status).toBe(200);
    await waitUntil(() =>
      fleet.nodes.every(
        ({host}) => host.control.replica.version === before + 1,
      ),
    );
    for (const [at] of fleet.nodes.entries()) {
      for (const name of ['first', 'second', 'third', 'fourth']) {
        expect((await api(`/resources/Customer/${name}`, at)).status).toBe(200);
      }
      expect((await api('/status', at)).body).toMatchObject({
        logEra: 2,
        logRestores: 1,
        isFoldingAnew: false,
      });
    }
  });
});
