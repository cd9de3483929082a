// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** npm run bench: cost of lockpin compared with a minimal proxy. */

import {createWrite} from '@lockpin/configuration';
import {mkdir, writeFile} from 'node:fs/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {BoxList, LogService} from '@lockpin/stand-ins';
import {NodeProcess, freeNodeAddresses} from '../harness/nodeProcess.js';
import {LOOPBACK} from '../harness/ports.js';
import {waitUntil} from '../harness/waitUntil.js';
import {startChild} from './childProcess.js';
import type {LoadResult, LoadTask} from './load.js';
import {processorSeconds} from './processTime.js';

const ARTIFACTS = new URL('../../../../artifacts/', import.meta.url);
const SLOTS = 64;
const SERVICE = 'bench/service';

const options = await yargs(hideBin(process.argv))
  .option('seconds', {type: 'number', default: 8})
  .option('connections', {type: 'number', default: 32})
  .option('rate', {type: 'number', default: 125})
  .strict()
  .parse();

interface Target {
  readonly name: string;
  readonly address: string;
  /** Processes of the proxy whose processor time counts. */
  readonly pids: readonly number[];
}

interface Row {
  readonly name: string;
  readonly saturated: LoadResult;
  readonly steady: LoadResult;
  readonly requestsPerSecond: number;
  readonly processorMicroseconds: number;
}

const upstream = await startChild('./fastUpstream.js');
const passThrough = await startChild('./passThrough.js', [upstream.address]);
const fleet = await startFleet(upstream.address);
const load = await startChild('./load.js');
const targets: readonly Target[] = [
  {name: 'straight', address: upstream.address, pids: [upstream.pid]},
  {
    name: 'bare hop',
    address: passThrough.address,
    pids: [passThrough.pid],
  },
  {
    name: 'lockpin, own upstream',
    address: fleet.guard.addresses.caller,
    pids: [fleet.guard.pid ?? 0],
  },
  {
    name: 'lockpin, two hops',
    address: fleet.entry.addresses.caller,
    pids: [fleet.entry.pid ?? 0, fleet.guard.pid ?? 0],
  },
];
const rows: Row[] = [];
for (const target of targets) {
  await measure(target, {seconds: 3, rate: 0});
  const before = usedProcessorSeconds(target);
  const saturated = await measure(target, {seconds: options.seconds, rate: 0});
  const used = usedProcessorSeconds(target) - before;
  const steady = await measure(target, {
    seconds: options.seconds * 2,
    rate: options.rate,
  });
  rows.push({
    name: target.name,
    saturated,
    steady,
    requestsPerSecond: saturated.requests / saturated.seconds,
    processorMicroseconds: (used / saturated.requests) * 1e6,
  });
}
await mkdir(ARTIFACTS, {recursive: true});
await writeFile(
  new URL('bench.json', ARTIFACTS),
  JSON.stringify(rows, null, 2),
);
process.stdout.write(`${formatTable(rows)}\n`);
process.exit(rows.some(({saturated}) => saturated.failures > 0) ? 1 : 0);

function measure(
  {address}: Target,
  {seconds, rate}: Pick<LoadTask, 'seconds' | 'rate'>,
): Promise<LoadResult> {
  const task: LoadTask = {
    address,
    headers: {'lockpin-service': SERVICE},
    seconds,
    connections: options.connections,
    rate,
  };
  return new Promise((resolve) => {
    load.child.once('message', (result) => resolve(result as LoadResult));
    load.child.send(task);
  });
}

function usedProcessorSeconds({pids}: Target): number {
  return pids.reduce((sum, pid) => sum + processorSeconds(pid), 0);
}

/** Starts two nodes: one guards the upstream, the other is only an entry. */
async function startFleet(upstreamAddress: string) {
  const log = new LogService();
  const boxList = new BoxList();
  const logAddress = await log.start(LOOPBACK);
  const boxListAddress = await boxList.start(LOOPBACK);
  const start = async (box: string): Promise<NodeProcess> => {
    const addresses = await freeNodeAddresses();
    const place = {box, dataCentre: 'one'};
    const node = new NodeProcess(
      {...place, logAddress, boxListAddress, extra: ['--log-level=error']},
      addresses,
    );
    node.start();
    const {peer: peerAddress} = addresses;
    boxList.set({...place, state: 'live', peerAddress});
    await node.whenReady();
    return node;
  };
  const guard = await start('guard');
  const entry = await start('entry');
  log.appendDirectly('configuration', configuration(upstreamAddress));
  await waitUntil(async () => {
    const answers = await Promise.all(
      [guard, entry].map(({addresses}) => isServed(addresses.caller)),
    );
    return answers.every((served) => served);
  });
  return {guard, entry};
}

async function isServed(address: string): Promise<boolean> {
  const answer = await fetch(`http://${address}/readings/7`, {
    headers: {'lockpin-service': SERVICE},
  });
  await answer.arrayBuffer();
  return answer.status === 200;
}

function configuration(address: string): unknown {
  return {
    kind: 'change',
    changeId: 'bench-configuration',
    author: 'bench',
    writes: [
      createWrite('Customer', 'bench', {}),
      createWrite('Service', SERVICE, {}),
      createWrite('Route', `${SERVICE}/read`, {
        pathPrefix: '/readings',
        repetition: 'repeatable',
        waitMilliseconds: 5000,
      }),
      createWrite('Upstream', `${SERVICE}/upstream`, {
        address,
        dataCentre: 'one',
        box: 'guard',
        slots: SLOTS,
        connections: SLOTS,
      }),
    ],
  };
}

function formatTable(results: readonly Row[]): string {
  const [straight, bare] = results as readonly [Row, Row, ...Row[]];
  const head =
    '| way | requests/s | of bare hop | processor µs a request | of bare hop | p50 ms | added p50 | added p99 | added p99.9 |\n' +
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- |';
  const milliseconds = (microseconds: number): string =>
    (microseconds / 1000).toFixed(2);
  const lines = results.map(
    ({name, requestsPerSecond, processorMicroseconds, steady}) =>
      `| ${[
        name,
        requestsPerSecond.toFixed(0),
        (requestsPerSecond / bare.requestsPerSecond).toFixed(2),
        processorMicroseconds.toFixed(0),
        (processorMicroseconds / bare.processorMicroseconds).toFixed(2),
        milliseconds(steady.p50),
        milliseconds(steady.p50 - straight.steady.p50),
        milliseconds(steady.p99 - straight.steady.p99),
        milliseconds(steady.p999 - straight.steady.p999),
      ].join(' | ')} |`,
  );
  return [head, ...lines].join('\n');
}
