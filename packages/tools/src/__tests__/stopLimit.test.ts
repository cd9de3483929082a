// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Calls that still run when a node of a fleet with its own log has to stop. */

import {afterEach, describe, expect, it, vi} from 'vitest';
import {request} from 'undici';
import {startSmallFleet} from '../harness/smallFleet.js';
import type {SmallFleet, SmallNode} from '../harness/smallFleet.js';
import {waitUntil} from '../harness/waitUntil.js';

const HOUR_MILLISECONDS = 3_600_000;

let fleet: SmallFleet;

async function startNode(stopLimitMilliseconds: number): Promise<void> {
  fleet = await startSmallFleet({boxes: 1, settings: {stopLimitMilliseconds}});
}

afterEach(async () => {
  vi.restoreAllMocks();
  await fleet.stop();
});

/** Starts a call that takes some time at its upstream. */
function startCall(workMilliseconds: number) {
  fleet.platform.upstreams.forEach(({standIn}) =>
    standIn.setBehaviour({workMilliseconds}),
  );
  const {callerAddress} = fleet.nodes[0] as SmallNode;
  return request(`http://${callerAddress}/readings`, {
    headers: {'lockpin-service': 'barid/telemetry'},
  });
}

async function waitUntilRunning(): Promise<void> {
  await waitUntil(() => fleet.executedRequestIds().length > 0);
}

describe('a node that stops', () => {
  it('tells the caller of a call that outlasts its limit what became of it', async () => {
    await startNode(600);
    const answer = startCall(20_000);
    await waitUntilRunning();
    const stopped = fleet.nodes[0]?.running.stop();
    const {body} = await answer;
    expect(await body.json()).toMatchObject({
      reason: 'node-leaving',
      outcome: 'unknown',
    });
    expect(await stopped).toBe('limit-reached');
  });

  it('finishes a call although the time of day is set forwards', async () => {
    await startNode(4000);
    const answer = startCall(900);
    await waitUntilRunning();
    const stopped = fleet.nodes[0]?.running.stop();
    const {now} = Date;
    vi.spyOn(Date, 'now').mockImplementation(() => now() + HOUR_MILLISECONDS);
    const {headers, body} = await answer;
    await body.dump();
    expect(headers['lockpin-outcome']).toBe('answered');
    expect(await stopped).toBe('finished');
  });
});
