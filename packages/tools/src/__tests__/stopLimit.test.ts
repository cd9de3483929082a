// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Calls that still run when a node of a fleet with its own log has to stop. */

import {afterEach, describe, expect, it, vi} from 'vitest';
import {request} from 'undici';
import {startSmallFleet} from '../harness/smallFleet.js';
import type {SmallFleet, SmallNode} from '../harness/smallFleet.js';
import {waitUntil} from '../harness/waitUntil.js';

const HOUR_MILLISECONDS = 3_600_000;

/** Slots of each upstream of the deployment. */
const SLOTS = 4;

let fleet: SmallFleet;

async function startNode(stopLimitMilliseconds: number): Promise<void> {
  fleet = await startSmallFleet({boxes: 1, settings: {stopLimitMilliseconds}});
}

afterEach(async () => {
  vi.restoreAllMocks();
  await fleet.stop();
});

/** Starts a call that takes some time at its upstream. */
function startCall(workMilliseconds: number, path = '/readings') {
  fleet.platform.upstreams.forEach(({standIn}) =>
    standIn.setBehaviour({workMilliseconds}),
  );
  const {callerAddress} = fleet.nodes[0] as SmallNode;
  return request(`http://${callerAddress}${path}`, {
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

  // Guards against calls that get a slot when they can't end any more.
  it('starts no waiting call that could not end before the limit', async () => {
    await startNode(1500);
    const outcomes = (count: number) =>
      Promise.all(
        Array.from({length: count}, async () => {
          const {headers, body} = await startCall(1000, '/calibration');
          await body.dump();
          return headers['lockpin-outcome'];
        }),
      );
    const slots = fleet.platform.upstreams.length * SLOTS;
    await outcomes(slots);
    const before = fleet.executedRequestIds().length;
    const answers = outcomes(2 * slots);
    await waitUntil(() => fleet.executedRequestIds().length > before);
    await fleet.nodes[0]?.running.stop();
    const ends = await answers;
    expect(ends).toContain('answered');
    expect(ends).toContain('not-run');
    expect(ends).not.toContain('unknown');
  });
});
