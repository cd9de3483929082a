// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The complete path in one process: log, entries, guards and upstreams. */

import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {request} from 'undici';
import {startSmallFleet} from '../harness/smallFleet.js';
import type {SmallFleet} from '../harness/smallFleet.js';

let fleet: SmallFleet;

beforeAll(async () => {
  fleet = await startSmallFleet();
});

afterAll(async () => {
  await fleet.stop();
});

describe('the complete path', () => {
  it('answers a repeatable call through any node', async () => {
    for (const node of fleet.nodes) {
      const answer = await request(`http://${node.callerAddress}/readings/7`, {
        headers: {'lockpin-service': 'barid/telemetry', 'x-request-id': 'r-7'},
      });
      const body = (await answer.body.json()) as {readonly requestId: string};
      expect(answer.headers['lockpin-outcome']).toBe('answered');
      expect(body.requestId).toBe('r-7');
    }
  });

  it('gives each caller its own answer when entries call one guard concurrently', async () => {
    const requests = fleet.nodes.flatMap((node, n) =>
      Array.from({length: 40}, (_, i) => ({node, id: `own-${n}-${i}`})),
    );
    const answeredIds = await Promise.all(
      requests.map(async ({node, id}) => {
        const url = `http://${node.callerAddress}/readings`;
        const {headers, body} = await request(url, {
          headers: {'lockpin-service': 'barid/telemetry', 'x-request-id': id},
        });
        const {requestId} = (await body.json()) as {readonly requestId: string};
        return headers['lockpin-outcome'] === 'answered' ? requestId : id;
      }),
    );
    expect(answeredIds).toEqual(requests.map(({id}) => id));
  });

  it('refuses an unknown service as not-run', async () => {
    const [node] = fleet.nodes;
    const answer = await request(`http://${node?.callerAddress}/readings`, {
      headers: {'lockpin-service': 'barid/nothing'},
    });
    const problem = await answer.body.json();
    expect(answer.statusCode).toBe(404);
    expect(problem).toMatchObject({
      reason: 'service-unknown',
      outcome: 'not-run',
    });
  });

  it('runs a once-only call once and answers its repeats identically', async () => {
    const key = await fleet.mintKey('barid/telemetry');
    const bodies: string[] = [];
    for (const node of fleet.nodes) {
      const answer = await request(`http://${node.callerAddress}/claims`, {
        method: 'POST',
        headers: {
          'lockpin-service': 'barid/telemetry',
          'lockpin-once-key': key,
          'x-request-id': 'claim-1',
        },
        body: '{"claim":1}',
      });
      bodies.push(await answer.body.text());
    }
    const runs = fleet.executedRequestIds().filter((id) => id === 'claim-1');
    expect(runs).toHaveLength(1);
    expect(new Set(bodies).size).toBe(1);
  });
});
