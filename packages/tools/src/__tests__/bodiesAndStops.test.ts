// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Large bodies over two hops, drains and planned stops, on complete nodes. */

import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {request} from 'undici';
import {startSmallFleet} from '../harness/smallFleet.js';
import type {SmallFleet, SmallNode} from '../harness/smallFleet.js';
import {waitUntil} from '../harness/waitUntil.js';

const MEGABYTE = 1024 * 1024;

let fleet: SmallFleet;

const warnings: string[] = [];

beforeAll(async () => {
  process.on('warning', ({message}) => warnings.push(message));
  fleet = await startSmallFleet();
});

afterAll(async () => {
  fleet.platform.upstreams.forEach(({standIn}) =>
    standIn.setBehaviour({truncateShare: 0, workMilliseconds: 1}),
  );
  await fleet.stop();
});

function node(i: number): SmallNode {
  return fleet.nodes[i] as SmallNode;
}

/** Drains all upstreams but those of one box; other entries need two hops. */
async function drainAllExcept(box: string): Promise<void> {
  const {host} = node(0);
  const writes = fleet.platform.upstreams
    .filter((upstream) => upstream.service === 'barid/telemetry')
    .flatMap(({name, box: place}) => {
      const current = host.control.replica.state.get('Upstream', name);
      return place === box || current === undefined
        ? []
        : [
            {
              operation: 'put' as const,
              kind: 'Upstream' as const,
              name,
              basedOn: current.version,
              spec: {...current.spec, state: 'draining'},
            },
          ];
    });
  const service = host.control.replica.state.get('Service', 'barid/telemetry');
  const loweredFloor = {
    operation: 'put' as const,
    kind: 'Service' as const,
    name: 'barid/telemetry',
    basedOn: service?.version ?? 0,
    spec: {...service?.spec, floorSlots: 4},
  };
  const change = {
    kind: 'change' as const,
    changeId: `drain-${box}`,
    author: 'test',
    writes: [loweredFloor, ...writes],
  };
  const result = await host.publish(change);
  expect(result).toMatchObject({outcome: {kind: 'accepted'}});
  const {version} = host.control.replica;
  await waitUntil(() =>
    fleet.nodes.every(
      ({host: each}) => each.control.replica.version >= version,
    ),
  );
}

function call(
  through: SmallNode,
  path: string,
  options: {readonly method?: 'GET' | 'POST'; readonly body?: Buffer} = {},
) {
  return request(`http://${through.callerAddress}${path}`, {
    method: options.method ?? 'GET',
    headers: {'lockpin-service': 'barid/telemetry'},
    body: options.body ?? null,
  });
}

describe('a large answer', () => {
  it('arrives complete over two hops, with concurrent answers', async () => {
    await drainAllExcept(node(2).box);
    const sizes = await Promise.all(
      Array.from({length: 6}, async () => {
        const {body} = await call(
          node(0),
          `/trips?answerBytes=${3 * MEGABYTE}`,
        );
        return (await body.arrayBuffer()).byteLength;
      }),
    );
    expect(sizes).toEqual(sizes.map(() => 3 * MEGABYTE));
  });

  it('waits for a slow caller without delaying other calls', async () => {
    const slow = await call(node(0), `/trips?answerBytes=${3 * MEGABYTE}`);
    const other = await call(node(0), '/trips');
    await other.body.dump();
    expect(other.headers['lockpin-outcome']).toBe('answered');
    expect((await slow.body.arrayBuffer()).byteLength).toBe(3 * MEGABYTE);
    // Waiting chunks share one drain listener; many would raise a warning.
    expect(warnings.filter((text) => text.includes('drain'))).toEqual([]);
  });

  it('fails visibly when the upstream truncates it', async () => {
    const upstreams = fleet.platform.upstreams;
    upstreams.forEach(({standIn}) => standIn.setBehaviour({truncateShare: 1}));
    const answer = await call(node(0), `/trips?answerBytes=${3 * MEGABYTE}`);
    await expect(answer.body.arrayBuffer()).rejects.toThrow();
    upstreams.forEach(({standIn}) => standIn.setBehaviour({truncateShare: 0}));
  });
});

describe('a small answer', () => {
  it('preserves every byte value', async () => {
    for (const through of fleet.nodes) {
      const {body} = await call(through, '/trips?answerBytes=1000');
      const bytes = Buffer.from(await body.arrayBuffer());
      const expected = Array.from({length: 1000}, (_, i) => i & 255);
      expect([...bytes]).toEqual(expected);
    }
  });
});

describe('a large request', () => {
  it('reaches the upstream complete over two hops and over one', async () => {
    for (const through of [node(0), node(2)]) {
      const answer = await call(through, '/readings', {
        method: 'GET',
        body: Buffer.alloc(2 * MEGABYTE),
      });
      const {received} = (await answer.body.json()) as {
        readonly received: number;
      };
      expect(received).toBe(2 * MEGABYTE);
    }
  });
});

describe('a drain', () => {
  it('sends new calls only to upstreams in service', async () => {
    const before = drainedExecutions();
    for (let i = 0; i < 30; i += 1) {
      const answer = await call(node(i % 3), '/readings');
      await answer.body.dump();
      expect(answer.headers['lockpin-outcome']).toBe('answered');
    }
    expect(drainedExecutions()).toBe(before);
  });
});

/** Counts executions on drained upstreams. */
function drainedExecutions(): number {
  return fleet.platform.upstreams
    .filter(
      ({service, box}) => service === 'barid/telemetry' && box !== node(2).box,
    )
    .reduce((sum, {standIn}) => sum + standIn.executions.length, 0);
}

describe('a planned stop', () => {
  it('completes calls in flight at the entry and at the guard', async () => {
    fleet.platform.upstreams.forEach(({standIn}) =>
      standIn.setBehaviour({workMilliseconds: 400}),
    );
    const started = executionsOnBox(node(2).box);
    const inFlight = [0, 1, 2].map(async (i) => {
      const answer = await call(node(i), '/readings');
      await answer.body.dump();
      return answer.headers['lockpin-outcome'];
    });
    await waitUntil(() => executionsOnBox(node(2).box) > started);
    const stopped = node(2).running.stop();
    const refused = await call(node(2), '/readings');
    expect(await refused.body.json()).toMatchObject({
      reason: 'node-leaving',
      outcome: 'not-run',
    });
    expect(await Promise.all(inFlight)).toEqual([
      'answered',
      'answered',
      'answered',
    ]);
    expect(await stopped).toBe('finished');
  });
});

function executionsOnBox(box: string): number {
  return fleet.platform.upstreams
    .filter((upstream) => upstream.box === box)
    .reduce((sum, {standIn}) => sum + standIn.executions.length, 0);
}
