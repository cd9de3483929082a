// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Runs a few complete nodes and their stand-ins in one process, for tests. */

import {composeNode, runNode, TOKENS, DEFAULT_SETTINGS} from '@lockpin/node';
import type {NodeHost, NodeSettings, RunningNode} from '@lockpin/node';
import type {ChangeRecord} from '@lockpin/types';
import {request} from 'undici';
import {DEPLOYMENTS} from './deployments.js';
import type {Deployment, DeploymentName} from './deployments.js';
import {deploymentResources} from './manifests.js';
import {BOOTSTRAP_TOKEN_HASH, freeNodeAddresses} from './nodeProcess.js';
import {startPlatform} from './platform.js';
import type {PlacedBox, Platform} from './platform.js';
import {waitUntil} from './waitUntil.js';

/** One node of the fleet. */
export interface SmallNode {
  readonly box: string;
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly host: NodeHost;
  readonly running: RunningNode;
  readonly container: ReturnType<typeof composeNode>;
}

/** The nodes and the platform around them. */
export interface SmallFleet {
  readonly platform: Platform;
  readonly nodes: readonly SmallNode[];
  readonly mintKey: (service: string) => Promise<string>;
  /** Identities of executed requests, in order of execution per upstream. */
  readonly executedRequestIds: () => readonly string[];
  readonly stop: () => Promise<void>;
}

/** Overrides of the defaults. */
export interface SmallFleetOptions {
  readonly deployment?: DeploymentName;
  readonly boxes?: number;
  readonly settings?: Partial<NodeSettings>;
}

/** Starts a fleet and waits until every node has the deployment in force. */
export async function startSmallFleet(
  options: SmallFleetOptions = {},
): Promise<SmallFleet> {
  const deployment: Deployment = {
    ...DEPLOYMENTS[options.deployment ?? 'muscat'],
    boxes: options.boxes ?? 3,
  };
  const platform = await startPlatform(deployment, 1);
  const nodes: SmallNode[] = [];
  for (const place of platform.boxes) {
    nodes.push(await startSmallNode(platform, place, options.settings));
  }
  await waitUntil(() => nodes.every(({host}) => host.isReady));
  await waitUntil(() =>
    nodes.every(({host}) => seesMembers(host, nodes.length)),
  );
  await publishDeployment(deployment, platform, nodes);
  return {
    platform,
    nodes,
    mintKey: (service) => mintKey(nodes[0] as SmallNode, service),
    executedRequestIds: () =>
      platform.upstreams.flatMap(({standIn}) =>
        standIn.executions.map(({requestId}) => requestId),
      ),
    stop: async () => {
      await Promise.all(nodes.map(({running}) => running.stop()));
      platform.stop();
    },
  };
}

/** Starts one node on a box of the platform. */
export async function startSmallNode(
  platform: Platform,
  place: PlacedBox,
  settings: Partial<NodeSettings> = {},
): Promise<SmallNode> {
  const {caller, operator, peer} = await freeNodeAddresses();
  platform.boxList.set({...place, state: 'live', peerAddress: peer});
  const container = composeNode({
    ...DEFAULT_SETTINGS,
    ...place,
    logLevel: 'error',
    callerAddress: caller,
    operatorAddress: operator,
    peerAddress: peer,
    logAddress: platform.logAddress,
    boxListAddress: platform.boxListAddress,
    bootstrapTokenHash: BOOTSTRAP_TOKEN_HASH,
    ...settings,
  });
  const running = await runNode(container);
  const host = container.resolve(TOKENS.host);
  const {box} = place;
  return {
    box,
    callerAddress: caller,
    operatorAddress: operator,
    host,
    running,
    container,
  };
}

async function publishDeployment(
  deployment: Deployment,
  platform: Platform,
  nodes: readonly SmallNode[],
): Promise<void> {
  const change = {
    kind: 'change',
    changeId: 'deployment-1',
    author: 'test',
    writes: deploymentResources(deployment, platform.upstreams).map(
      (resource) => ({operation: 'put', basedOn: 0, ...resource}),
    ),
  } as ChangeRecord;
  await nodes[0]?.host.publish(change);
  await waitUntil(() =>
    nodes.every(({host}) => host.control.replica.version > 0),
  );
}

async function mintKey(node: SmallNode, service: string): Promise<string> {
  const url = `http://${node.callerAddress}/.lockpin/once-keys`;
  const {body} = await request(url, {
    method: 'POST',
    headers: {'lockpin-service': service},
  });
  const {keys} = (await body.json()) as {readonly keys: readonly string[]};
  return keys[0] as string;
}

function seesMembers(host: NodeHost, count: number): boolean {
  const members = host.control.membership.all();
  return members.filter(({state}) => state === 'alive').length === count;
}
