// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Control overhead of real processes as a function of their number. */

import {setTimeout as pause} from 'node:timers/promises';
import {createWrite} from '@lockpin/configuration';
import {request} from 'undici';
import {BoxList, LogService} from '@lockpin/stand-ins';
import {
  NodeProcess,
  OPERATOR_TOKEN,
  freeNodeAddresses,
} from '../harness/nodeProcess.js';
import {LOOPBACK} from '../harness/ports.js';
import {waitUntil} from '../harness/waitUntil.js';

/** Mean control overhead per node without traffic. */
export interface ProcessPoint {
  readonly nodes: number;
  readonly startSeconds: number;
  readonly residentMegabytes: number;
  readonly corePercent: number;
  readonly datagramBytesPerSecond: number;
  readonly exchangeBytesPerSecond: number;
  readonly logBytesPerSecond: number;
  readonly boxListBytesPerSecond: number;
  readonly spreadMilliseconds: readonly number[];
}

interface ProcessStatus {
  readonly cpuMicroseconds: number;
  readonly residentBytes: number;
  readonly controlTraffic: Readonly<
    Record<string, {readonly sent: number; readonly received: number}>
  >;
}

interface NodeStatus {
  readonly version: number;
  readonly process: ProcessStatus;
}

/** Options of a fleet measurement. */
export interface ProcessMeasurementOptions {
  readonly quietSeconds: number;
  readonly changes: number;
  /** Boxes that guard upstreams of each service. */
  readonly boxesPerService: number;
}

const UPSTREAMS_PER_NODE = 11;
const WRITES_PER_CHANGE = 150;
const START_BATCH_SIZE = 8;

/** Lets code compile and start-up updates spread before the measurement. */
const SETTLING_MILLISECONDS = 25_000;
const DATA_CENTRES = 3;

/** Starts the given number of nodes, measures them and ends them. */
export async function measureProcesses(
  count: number,
  measurement: ProcessMeasurementOptions,
): Promise<ProcessPoint> {
  const log = new LogService();
  const boxList = new BoxList();
  const logAddress = await log.start(LOOPBACK);
  const boxListAddress = await boxList.start(LOOPBACK);
  const startedAt = Date.now();
  const nodes = await startNodes(count, logAddress, boxListAddress, boxList);
  const startSeconds = (Date.now() - startedAt) / 1000;
  try {
    writeUpstreams(log, nodes, measurement.boxesPerService);
    await waitForVersion(nodes, log.records('configuration').length);
    await pause(SETTLING_MILLISECONDS);
    const quiet = await measureIdle(nodes, measurement.quietSeconds);
    const spreadMilliseconds = await measureSpread(
      nodes,
      log,
      measurement.changes,
    );
    return {nodes: count, startSeconds, ...quiet, spreadMilliseconds};
  } finally {
    await Promise.all(nodes.map((node) => node.kill()));
    log.stop();
    boxList.stop();
  }
}

async function startNodes(
  count: number,
  logAddress: string,
  boxListAddress: string,
  boxList: BoxList,
): Promise<readonly NodeProcess[]> {
  const nodes: NodeProcess[] = [];
  for (let i = 0; i < count; i += 1) {
    const box = `box-${i}`;
    const dataCentre = `data-centre-${i % DATA_CENTRES}`;
    const addresses = await freeNodeAddresses();
    const node = new NodeProcess(
      {
        box,
        dataCentre,
        logAddress,
        boxListAddress,
        extra: ['--log-level=error'],
      },
      addresses,
    );
    node.start();
    const {peer: peerAddress} = addresses;
    boxList.set({box, dataCentre, state: 'live', peerAddress});
    nodes.push(node);
    if (nodes.length % START_BATCH_SIZE === 0) {
      await Promise.all(
        nodes.slice(-START_BATCH_SIZE).map((started) => started.whenReady()),
      );
    }
  }
  await Promise.all(nodes.map((node) => node.whenReady()));
  return nodes;
}

/** Writes upstreams; each box guards as many as at the target scale. */
function writeUpstreams(
  log: LogService,
  nodes: readonly NodeProcess[],
  boxesPerService: number,
): void {
  const total = nodes.length * UPSTREAMS_PER_NODE;
  const services = Math.max(1, Math.round(total / boxesPerService));
  const writes = [
    createWrite('Customer', 'quiet', {}),
    ...Array.from({length: services}, (_, i) =>
      createWrite('Service', `quiet/service-${i}`, {floorSlots: 10}),
    ),
    ...Array.from({length: total}, (_, i) => {
      const {box, dataCentre} = (nodes[i % nodes.length] as NodeProcess)
        .options;
      return createWrite(
        'Upstream',
        `quiet/service-${i % services}/upstream-${i}`,
        {
          address: '127.0.0.1:9',
          dataCentre,
          box,
          slots: 4,
        },
      );
    }),
  ];
  for (let i = 0; i < writes.length; i += WRITES_PER_CHANGE) {
    appendChange(log, `quiet-${i}`, writes.slice(i, i + WRITES_PER_CHANGE));
  }
}

function appendChange(
  log: LogService,
  changeId: string,
  writes: readonly unknown[],
): void {
  const value = {kind: 'change', changeId, author: 'capacity', writes};
  log.appendDirectly('configuration', value);
}

async function measureIdle(nodes: readonly NodeProcess[], seconds: number) {
  const before = await fetchStatuses(nodes);
  const startedAt = Date.now();
  await pause(seconds * 1000);
  const after = await fetchStatuses(nodes);
  const elapsed = (Date.now() - startedAt) / 1000;
  const mean = (value: (status: ProcessStatus) => number): number =>
    after.reduce((sum, {process}) => sum + value(process), 0) / after.length;
  const meanBefore = (value: (status: ProcessStatus) => number): number =>
    before.reduce((sum, {process}) => sum + value(process), 0) / before.length;
  const rate = (value: (status: ProcessStatus) => number): number =>
    (mean(value) - meanBefore(value)) / elapsed;
  const bytes = (kind: string): number =>
    rate(({controlTraffic}) => {
      const count = controlTraffic[kind];
      return (count?.sent ?? 0) + (count?.received ?? 0);
    });
  return {
    residentMegabytes: mean(({residentBytes}) => residentBytes) / 1024 ** 2,
    corePercent: rate(({cpuMicroseconds}) => cpuMicroseconds) / 10_000,
    datagramBytesPerSecond: bytes('datagrams'),
    exchangeBytesPerSecond: bytes('exchanges'),
    logBytesPerSecond: bytes('log'),
    boxListBytesPerSecond: bytes('boxList'),
  };
}

/** Measures the time from an append until the change is in force everywhere. */
async function measureSpread(
  nodes: readonly NodeProcess[],
  log: LogService,
  changes: number,
): Promise<readonly number[]> {
  const times: number[] = [];
  for (let i = 0; i < changes; i += 1) {
    const write = createWrite('Customer', `spread-${i}`, {});
    const startedAt = Date.now();
    appendChange(log, `spread-${i}`, [write]);
    await waitForVersion(nodes, log.records('configuration').length);
    times.push(Date.now() - startedAt);
  }
  return times;
}

async function waitForVersion(
  nodes: readonly NodeProcess[],
  version: number,
): Promise<void> {
  const behind = new Set(nodes);
  await waitUntil(async () => {
    await Promise.all(
      [...behind].map(async (node) => {
        const answer = await fetchStatus(node);
        if (answer !== undefined && answer.version >= version) {
          behind.delete(node);
        }
      }),
    );
    return behind.size === 0;
  }, 120_000);
}

async function fetchStatuses(
  nodes: readonly NodeProcess[],
): Promise<readonly NodeStatus[]> {
  const answers = await Promise.all(nodes.map((node) => fetchStatus(node)));
  return answers.filter((answer) => answer !== undefined);
}

async function fetchStatus(node: NodeProcess): Promise<NodeStatus | undefined> {
  try {
    const {body} = await request(`http://${node.addresses.operator}/status`, {
      headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
    });
    return (await body.json()) as NodeStatus;
  } catch {
    return undefined;
  }
}
