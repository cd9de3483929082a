// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** One demo session: traffic, injected faults and the measured result. */

import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {build} from 'hdr-histogram-js';
import {run} from '@lockpin/cli';
import type {TimelineEvent} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import type {Deployment} from '../harness/deployments.js';
import {deploymentManifests} from '../harness/manifests.js';
import {
  NodeProcess,
  OPERATOR_TOKEN,
  freeNodeAddresses,
} from '../harness/nodeProcess.js';
import {startPlatform} from '../harness/platform.js';
import type {PlacedUpstream, Platform} from '../harness/platform.js';
import type {CallRecord} from './callRecord.js';
import {checkCalls} from './checkCalls.js';
import type {CallCounts, PlannedStop} from './checkCalls.js';
import {Traffic} from './traffic.js';

/** Options of a session. */
export interface SessionOptions {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly seconds: number;
  readonly callsPerSecond: number;
  readonly callers: number;
  readonly progress: (line: string) => void;
  /** Runs no traffic and no faults; keeps the fleet running for inspection. */
  readonly hold: boolean;
}

/** Result of a session. */
export interface SessionResult extends CallCounts {
  readonly newWorkAfterDrainSeconds: number;
  readonly configurationSpreadSeconds: number;
  readonly detectionSeconds: number;
  readonly falseEjections: number;
  readonly addedMillisecondsP50: number;
  readonly addedMillisecondsP99: number;
  readonly plannedStopExitCode: number;
}

interface InjectedFaults {
  readonly gray: PlacedUpstream;
  grayAt: number;
  readonly drained: PlacedUpstream;
  drainedAt: number;
  stop: PlannedStop | undefined;
  plannedStopExitCode: number;
}

/** Runs a session to its end. */
export async function runSession(
  options: SessionOptions,
): Promise<SessionResult> {
  const {deployment, seed, progress} = options;
  const platform = await startPlatform(deployment, seed);
  const nodes = await startNodes(platform);
  try {
    progress(
      `${nodes.length} nodes in ${deployment.dataCentres.length} data centres are ready`,
    );
    const spread = await applyDeployment(deployment, platform, nodes);
    progress(
      `the deployment is in force on every node, ${spread.toFixed(2)} s after apply began`,
    );
    if (options.hold) {
      await keepFleetRunning(nodes, progress);
    }
    const traffic = new Traffic(
      deployment,
      nodes.map(({options: {box}, addresses}) => ({
        box,
        callerAddress: addresses.caller,
      })),
      options.callers,
      options.callsPerSecond,
      seededRandom(seed),
    );
    traffic.start();
    const faults = await injectFaults(options, platform, nodes);
    await traffic.stop();
    const events = await readTimeline(nodes[0] as NodeProcess);
    return createResult(traffic.records, platform, faults, events, spread);
  } finally {
    await Promise.all(nodes.map((node) => node.kill()));
    platform.stop();
  }
}

/** Prints how to reach the fleet, and never resolves. */
async function keepFleetRunning(
  nodes: readonly NodeProcess[],
  progress: (line: string) => void,
): Promise<never> {
  const [{addresses}] = nodes as readonly [NodeProcess];
  progress('the fleet runs until interrupted; in another shell:');
  progress(`export LOCKPIN_NODE=${addresses.operator}`);
  progress(`export LOCKPIN_TOKEN=${OPERATOR_TOKEN}`);
  progress(`export LOCKPIN_ENTRY=${addresses.caller}`);
  return new Promise<never>(() => setInterval(() => undefined, 1 << 30));
}

async function startNodes(platform: Platform): Promise<readonly NodeProcess[]> {
  const nodes: NodeProcess[] = [];
  for (const place of platform.boxes) {
    const {logAddress, boxListAddress} = platform;
    const addresses = await freeNodeAddresses();
    const node = new NodeProcess(
      {...place, logAddress, boxListAddress, extra: ['--log-level=warn']},
      addresses,
    );
    node.start();
    platform.boxList.set({
      ...place,
      state: 'live',
      peerAddress: addresses.peer,
    });
    nodes.push(node);
  }
  await Promise.all(nodes.map((node) => node.whenReady()));
  return nodes;
}

/** Applies the manifests by the CLI; resolves to seconds until in force. */
async function applyDeployment(
  deployment: Deployment,
  platform: Platform,
  nodes: readonly NodeProcess[],
): Promise<number> {
  const folder = await mkdtemp(join(tmpdir(), 'lockpin-demo-'));
  const file = join(folder, 'deployment.yaml');
  await writeFile(file, deploymentManifests(deployment, platform.upstreams));
  const startedAt = Date.now();
  await runCommand(nodes[0] as NodeProcess, ['apply', '-f', file, '--wait']);
  return (Date.now() - startedAt) / 1000;
}

/** Runs the lockpin CLI against a node; returns its output. */
async function runCommand(
  node: NodeProcess,
  args: readonly string[],
): Promise<string> {
  const output: string[] = [];
  const exitCode = await run(
    [...args, '--node', node.addresses.operator, '--token', OPERATOR_TOKEN],
    {out: (text) => output.push(text), err: (text) => output.push(text)},
  );
  if (exitCode !== 0) {
    throw new Error(`lockpin ${args.join(' ')} failed: ${output.join('')}`);
  }
  return output.join('');
}

/** Injects a gray failure, a drain, a log outage, a stop and a kill. */
async function injectFaults(
  {seconds, progress}: SessionOptions,
  platform: Platform,
  nodes: readonly NodeProcess[],
): Promise<InjectedFaults> {
  const [operatorsNode, , stopped, killed] = nodes as readonly [
    NodeProcess,
    NodeProcess,
    NodeProcess,
    NodeProcess,
  ];
  const faults = chooseFaults(platform, [stopped, killed]);
  const step = (seconds * 1000) / 10;
  await pause(step * 2);
  faults.grayAt = Date.now();
  faults.gray.standIn.setBehaviour({errorShare: 1});
  progress(
    `${faults.gray.name} fails every call while its health check passes`,
  );
  await pause(step);
  await runCommand(operatorsNode, ['drain', faults.drained.name]);
  faults.drainedAt = Date.now();
  progress(`${faults.drained.name} is drained`);
  await pause(step);
  platform.log.setBehaviour({isUnavailable: true});
  progress("the platform's log is unavailable");
  await pause(step);
  const from = Date.now();
  progress(`${stopped.options.box} receives SIGTERM`);
  faults.plannedStopExitCode = (await stopped.terminate()) ?? -1;
  platform.boxList.remove(stopped.options.box);
  faults.stop = {box: stopped.options.box, from, until: Date.now()};
  progress(`${stopped.options.box} exited with ${faults.plannedStopExitCode}`);
  await pause(step);
  progress(`${killed.options.box} receives SIGKILL`);
  await killed.kill();
  platform.boxList.remove(killed.options.box);
  await pause(step * 2);
  platform.log.setBehaviour({isUnavailable: false});
  progress("the platform's log is available again");
  await pause(step * 2);
  return faults;
}

function chooseFaults(
  platform: Platform,
  leavingNodes: readonly NodeProcess[],
): InjectedFaults {
  const boxes = leavingNodes.map(({options}) => options.box);
  const remainingUpstreams = platform.upstreams.filter(
    ({box}) => !boxes.includes(box),
  );
  const [{service} = {service: ''}] = platform.upstreams;
  const candidates = remainingUpstreams.filter(
    (upstream) => upstream.service === service,
  );
  return {
    gray: candidates[0] as PlacedUpstream,
    grayAt: 0,
    drained: candidates[2] as PlacedUpstream,
    drainedAt: 0,
    stop: undefined,
    plannedStopExitCode: -1,
  };
}

async function readTimeline(
  node: NodeProcess,
): Promise<readonly TimelineEvent[]> {
  const text = await runCommand(node, ['timeline', '--format', 'jsonl']);
  return text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as TimelineEvent);
}

function createResult(
  records: readonly CallRecord[],
  platform: Platform,
  faults: InjectedFaults,
  events: readonly TimelineEvent[],
  spread: number,
): SessionResult {
  const ejections = events.filter(({kind}) => kind === 'upstream-ejected');
  const detected = ejections.find(({subject}) => subject === faults.gray.name);
  const histogram = addedLatencies(records);
  return {
    ...checkCalls(records, platform.upstreams, faults.stop),
    newWorkAfterDrainSeconds: newWorkAfterDrain(faults),
    configurationSpreadSeconds: spread,
    detectionSeconds:
      detected === undefined
        ? -1
        : (detected.time.milliseconds - faults.grayAt) / 1000,
    falseEjections: ejections.filter(
      ({subject}) => subject !== faults.gray.name,
    ).length,
    addedMillisecondsP50: histogram.getValueAtPercentile(50) / 1000,
    addedMillisecondsP99: histogram.getValueAtPercentile(99) / 1000,
    plannedStopExitCode: faults.plannedStopExitCode,
  };
}

/** Histogram of the latency that lockpin added, in microseconds. */
function addedLatencies(records: readonly CallRecord[]) {
  const histogram = build({numberOfSignificantValueDigits: 3});
  for (const {attempts} of records) {
    for (const {addedMilliseconds} of attempts) {
      if (addedMilliseconds !== undefined) {
        histogram.recordValue(
          Math.max(0, Math.round(addedMilliseconds * 1000)),
        );
      }
    }
  }
  return histogram;
}

function newWorkAfterDrain({drained, drainedAt}: InjectedFaults): number {
  const after = drained.standIn.executions
    .map(({at}) => at)
    .filter((at) => at > drainedAt);
  return after.length === 0 ? 0 : (Math.max(...after) - drainedAt) / 1000;
}
