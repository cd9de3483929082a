// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** npm run fleet: replaces many nodes while the log is unavailable. */

import {readFileSync} from 'node:fs';
import {request} from 'undici';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {BoxList, LogService} from '@lockpin/stand-ins';
import {
  NodeProcess,
  OPERATOR_TOKEN,
  freeNodeAddresses,
} from '../harness/nodeProcess.js';
import {LOOPBACK} from '../harness/ports.js';
import {waitUntil} from '../harness/waitUntil.js';

const options = await yargs(hideBin(process.argv))
  .option('nodes', {type: 'number', default: 150})
  .option('data-centres', {type: 'number', default: 5})
  .option('replaced-share', {type: 'number', default: 0.3})
  .option('changes', {
    type: 'number',
    default: 20,
    describe: 'Changes published before the log outage, and after it',
  })
  .option('customers', {
    type: 'number',
    default: 2000,
    describe:
      'Customers in the configuration, which determine the snapshot size',
  })
  .strict()
  .parse();

const START_BATCH_SIZE = 8;
const WRITES_PER_CHANGE = 200;
const PHASE_MILLISECONDS = 180_000;

interface Status {
  readonly version: number;
  readonly digest: string;
  readonly process: {
    readonly residentBytes: number;
    readonly controlTraffic: Readonly<
      Record<string, {readonly sent: number; readonly received: number}>
    >;
  };
}

interface Phase {
  readonly name: string;
  readonly seconds: number;
  readonly bytesPerNode: number;
}

const availableAtStart = availableBytes();
const log = new LogService();
const boxList = new BoxList();
const logAddress = await log.start(LOOPBACK);
const boxListAddress = await boxList.start(LOOPBACK);
const phases: Phase[] = [];
const accepted: string[] = [];
let nodes: NodeProcess[] = [];

await runPhase('start all nodes', async () => {
  nodes = await startNodes(Array.from({length: options.nodes}, (_, i) => i));
});
await runPhase('load the configuration', async () => {
  publishCustomers();
  await waitForVersion(logVersion());
});
await runPhase('publish changes', async () => {
  for (let i = 0; i < options.changes; i += 1) {
    await publishChange(`before-${i}`);
  }
  await waitForVersion(logVersion());
});
log.setBehaviour({isUnavailable: true});
await runPhase('replace nodes while the log is away', replaceNodes);
await runPhase('refuse changes while the log is away', async () => {
  const response = await submitChange(nodes[0] as NodeProcess, 'refused');
  if (response.status !== 503) {
    throw new Error(
      `expected status 503 while the log is unavailable, got ${response.status}`,
    );
  }
});
log.setBehaviour({isUnavailable: false});
await runPhase('publish changes after the log is back', async () => {
  for (let i = 0; i < options.changes; i += 1) {
    await publishChange(`after-${i}`);
  }
  await waitForVersion(logVersion());
});
await reportResult();

/** Kills some nodes at once and starts them again without state. */
async function replaceNodes(): Promise<void> {
  const count = Math.round(options.nodes * options['replaced-share']);
  const version = (await fetchStatus(nodes[0] as NodeProcess))?.version ?? 0;
  const replaced = nodes.slice(options.nodes - count);
  await Promise.all(replaced.map((node) => node.kill()));
  const remaining = nodes.slice(0, options.nodes - count);
  const indices = Array.from({length: count}, (_, i) => remaining.length + i);
  nodes = [...remaining, ...(await startNodes(indices))];
  await waitForVersion(version);
}

async function runPhase(name: string, run: () => Promise<void>): Promise<void> {
  const before = await totalControlBytes();
  const startedAt = Date.now();
  await run();
  const seconds = (Date.now() - startedAt) / 1000;
  const bytesPerNode = Math.max(
    0,
    ((await totalControlBytes()) - before) / options.nodes,
  );
  phases.push({name, seconds, bytesPerNode});
  process.stdout.write(
    `${name.padEnd(42)} ${seconds.toFixed(1).padStart(7)} s ${(bytesPerNode / 1024).toFixed(1).padStart(9)} KB a node\n`,
  );
}

async function startNodes(indices: readonly number[]): Promise<NodeProcess[]> {
  const started: NodeProcess[] = [];
  for (let i = 0; i < indices.length; i += START_BATCH_SIZE) {
    const batch = await Promise.all(
      indices.slice(i, i + START_BATCH_SIZE).map(startNode),
    );
    await Promise.all(batch.map((node) => node.whenReady()));
    started.push(...batch);
  }
  return started;
}

async function startNode(i: number): Promise<NodeProcess> {
  const box = `box-${i}`;
  const dataCentre = `data-centre-${i % options['data-centres']}`;
  const addresses = await freeNodeAddresses();
  const extra = ['--log-level=error', '--snapshot-every-records=15'];
  const nodeFlags = ['--max-semi-space-size=1', '--max-old-space-size=128'];
  const node = new NodeProcess(
    {box, dataCentre, logAddress, boxListAddress, extra, nodeFlags},
    addresses,
  );
  node.start();
  const {peer: peerAddress} = addresses;
  boxList.set({box, dataCentre, state: 'live', peerAddress});
  return node;
}

function publishCustomers(): void {
  const writes = Array.from({length: options.customers}, (_, i) => ({
    operation: 'put',
    kind: 'Customer',
    name: `customer-${i}`,
    basedOn: 0,
    spec: {},
  }));
  for (let i = 0; i < writes.length; i += WRITES_PER_CHANGE) {
    log.appendDirectly('configuration', {
      kind: 'change',
      changeId: `customers-${i}`,
      author: 'fleet',
      writes: writes.slice(i, i + WRITES_PER_CHANGE),
    });
  }
}

async function publishChange(name: string): Promise<void> {
  const node = nodes[accepted.length % nodes.length] as NodeProcess;
  const response = await submitChange(node, name);
  if (response.status !== 200) {
    throw new Error(
      `change ${name} was not accepted: ${response.status} ${response.text}`,
    );
  }
  accepted.push(name);
}

async function submitChange(
  node: NodeProcess,
  name: string,
): Promise<{readonly status: number; readonly text: string}> {
  const write = {
    operation: 'put',
    kind: 'Customer',
    name,
    basedOn: 0,
    spec: {},
  };
  const {statusCode, body} = await request(
    `http://${node.addresses.operator}/changes`,
    {
      method: 'POST',
      headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
      body: JSON.stringify({writes: [write]}),
    },
  );
  return {status: statusCode, text: await body.text()};
}

function logVersion(): number {
  return log.records('configuration').length;
}

async function waitForVersion(version: number): Promise<void> {
  const behind = new Set(nodes);
  await waitUntil(async () => {
    await Promise.all(
      [...behind].map(async (node) => {
        if (((await fetchStatus(node))?.version ?? -1) >= version) {
          behind.delete(node);
        }
      }),
    );
    return behind.size === 0;
  }, PHASE_MILLISECONDS);
}

async function totalControlBytes(): Promise<number> {
  const statuses = await Promise.all(nodes.map((node) => fetchStatus(node)));
  return statuses
    .flatMap((answer) => Object.values(answer?.process.controlTraffic ?? {}))
    .reduce((sum, {sent, received}) => sum + sent + received, 0);
}

async function fetchStatus(node: NodeProcess): Promise<Status | undefined> {
  try {
    const {body} = await request(`http://${node.addresses.operator}/status`, {
      headers: {authorization: `Bearer ${OPERATOR_TOKEN}`},
    });
    return (await body.json()) as Status;
  } catch {
    return undefined;
  }
}

/** Checks that all nodes have every accepted change and the same digest. */
async function reportResult(): Promise<void> {
  const statuses = await Promise.all(nodes.map((node) => fetchStatus(node)));
  const digests = new Set(
    statuses.map((answer) => `${answer?.version} ${answer?.digest}`),
  );
  const missing = await countMissing();
  const resident = statuses.reduce(
    (sum, answer) => sum + (answer?.process.residentBytes ?? 0),
    0,
  );
  const result = {
    nodes: nodes.length,
    accepted: accepted.length,
    missing,
    digests: digests.size,
    residentGigabytes: gigabytes(resident),
    machineGigabytes: gigabytes(availableAtStart - availableBytes()),
    logAppends: log.counts.appends,
    logReads: log.counts.reads,
    phases,
  };
  process.stdout.write(`${JSON.stringify(result)}\n`);
  process.exit(missing === 0 && digests.size === 1 ? 0 : 1);
}

async function countMissing(): Promise<number> {
  let missing = 0;
  for (const node of nodes) {
    const {body} = await request(
      `http://${node.addresses.operator}/resources?kind=Customer`,
      {headers: {authorization: `Bearer ${OPERATOR_TOKEN}`}},
    );
    const {items} = (await body.json()) as {
      readonly items: readonly {readonly name: string}[];
    };
    const names = new Set(items.map(({name}) => name));
    missing += accepted.filter((name) => !names.has(name)).length;
  }
  return missing;
}

function gigabytes(bytes: number): number {
  return Math.round((bytes / 1024 ** 3) * 100) / 100;
}

/** Available memory of the machine in bytes; counts shared pages once. */
function availableBytes(): number {
  const text = readFileSync('/proc/meminfo', 'utf8');
  const kilobytes = /MemAvailable:\s+(\d+)/.exec(text)?.[1] ?? '0';
  return Number(kilobytes) * 1024;
}
