// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Starts a node's servers, and stops them without interrupting calls in flight.
 */

import type {Server} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {DependencyContainer, InjectionToken} from 'tsyringe';
import {isUsable} from '@lockpin/membership';
import {steadyClock} from '@lockpin/utils';
import {AddressListeners, listenOn} from '../connection/addressListeners.js';
import type {
  ListenOutcome,
  ListenReport,
} from '../connection/addressListeners.js';
import {connectionBounds} from '../connection/connectionBounds.js';
import {createHttpServer} from '../connection/httpServer.js';
import type {RequestHandler} from '../connection/httpServer.js';
import {TOKENS} from './composition.js';
import {
  LAST_ANSWERS_MILLISECONDS,
  UNSTARTED_CHECK_MILLISECONDS,
  drainCalls,
} from './drainCalls.js';
import type {StopResult} from './drainCalls.js';
import {watchEventLoop} from './eventLoopWatch.js';

/** A running node. */
export interface RunningNode {
  /** Refuses new calls, finishes calls in flight and closes; idempotent. */
  readonly stop: () => Promise<StopResult>;
}

/** Interval between updates of the gauges. */
const GAUGE_INTERVAL_MILLISECONDS = 10_000;

/**
 * Time after which a start gives up at an address that stays held. Its operator
 * is told of it at once, and an earlier process of the box may still be ending.
 */
const LISTEN_LIMIT_MILLISECONDS = 10_000;

/** Time for other nodes to learn that this node leaves. */
const ANNOUNCE_MILLISECONDS = 500;

/** Starts all components of a composed node; rejects without its addresses. */
export async function runNode(
  container: DependencyContainer,
): Promise<RunningNode> {
  const settings = container.resolve(TOKENS.settings);
  const host = container.resolve(TOKENS.host);
  const guard = container.resolve(TOKENS.guardService);
  const pools = container.resolve(TOKENS.pools);
  const watches = container.resolve(TOKENS.watches);
  const timeline = container.resolve(TOKENS.timeline);
  const metrics = container.resolve(TOKENS.metrics);
  const {every} = container.resolve(TOKENS.environment);
  const peerServer = container.resolve(TOKENS.peerServer);
  const datagrams = container.resolve(TOKENS.datagrams);
  const bounds = connectionBounds(settings.descriptors);
  const callers = createNodeHttpServer(
    container,
    TOKENS.callerApp,
    bounds.callers,
  );
  const operators = createNodeHttpServer(
    container,
    TOKENS.operatorApp,
    bounds.local,
  );
  await listenOnAll(container, {
    peers: [settings.peerAddress, (address) => peerServer.start(address)],
    datagrams: [settings.peerAddress, () => datagrams.start()],
    callers: [settings.callerAddress, (address) => listenOn(callers, address)],
    operators: [
      settings.operatorAddress,
      (address) => listenOn(operators, address),
    ],
  }).catch((error: unknown) => {
    closeServers(container, callers, operators);
    throw error;
  });
  host.start({
    onGuardEvent: (event) => guard.handle(event),
    onUpstreams: (upstreams) => pools.configure(upstreams),
    onFolded: (folds) => watches.sendChanges(folds),
    onStateReplaced: () =>
      watches.expire(host.control.replica.history.oldestResumable),
    onInForce: () => undefined,
    onTimeline: (event) => {
      timeline.add(event);
      if (event.kind === 'upstream-ejected') {
        metrics.increment('upstream.ejected');
      }
    },
  });
  const stopGauges = every(GAUGE_INTERVAL_MILLISECONDS, () => {
    metrics.gauge('guard.occupied', guard.callCount);
    metrics.gauge('configuration.version', host.control.replica.version);
    const members = host.control.membership.all();
    metrics.gauge('members.usable', members.filter(isUsable).length);
  });
  const stopWatch = watchEventLoop(every, ({resources, ...rates}) =>
    container.resolve(TOKENS.logger).warn('event loop busy', {
      ...rates,
      resources: JSON.stringify(resources),
    }),
  );
  let stopping: Promise<StopResult> | undefined;
  const stop = (): Promise<StopResult> => {
    stopGauges();
    stopWatch();
    return stopNode(container, callers, operators);
  };
  return {stop: () => (stopping ??= stop())};
}

/** The addresses of a node by purpose, and how it listens on each. */
type NodeAddresses = Readonly<
  Record<string, readonly [string, (address: string) => Promise<unknown>]>
>;

/** Listens on all addresses; rejects if one of them cannot be had in time. */
async function listenOnAll(
  container: DependencyContainer,
  addresses: NodeAddresses,
): Promise<void> {
  const logger = container.resolve(TOKENS.logger);
  const listeners = new AddressListeners({
    clock: steadyClock,
    giveUpMilliseconds: LISTEN_LIMIT_MILLISECONDS,
    onReport: ({kind, ...report}) =>
      logger.warn(`address ${kind}`, {...report}),
  });
  const outcomes = await Promise.all(
    Object.entries(addresses).map(
      ([purpose, [address, listen]]) =>
        listeners.listen({purpose, address: () => address, listen}).ended,
    ),
  );
  const failure = outcomes.find(hasFailed)?.report;
  if (failure !== undefined) {
    throw new Error(describeFailure(failure));
  }
}

function hasFailed(
  outcome: ListenOutcome,
): outcome is ListenOutcome & {readonly kind: 'failed'} {
  return outcome.kind === 'failed';
}

function describeFailure({purpose, problem, attempts}: ListenReport): string {
  return `address for ${purpose}: ${problem}, after ${attempts} attempts`;
}

function createNodeHttpServer(
  container: DependencyContainer,
  app: InjectionToken<RequestHandler>,
  maximumConnections: number,
): Server {
  const logger = container.resolve(TOKENS.logger);
  return createHttpServer(container.resolve(app), {
    maximumConnections,
    onProblem: (problem) =>
      logger.warn('a connection of a server failed', {...problem}),
  });
}

async function stopNode(
  container: DependencyContainer,
  callers: Server,
  operators: Server,
): Promise<StopResult> {
  const settings = container.resolve(TOKENS.settings);
  const host = container.resolve(TOKENS.host);
  const guard = container.resolve(TOKENS.guardService);
  const entry = container.resolve(TOKENS.entryService);
  const {every} = container.resolve(TOKENS.environment);
  const now = steadyClock();
  const endsAt = now + settings.stopLimitMilliseconds;
  const stop = {endsAt, callersGoneAt: now};
  entry.planStop(stop);
  const stopChecks = every(UNSTARTED_CHECK_MILLISECONDS, () =>
    entry.refuseUnstarted(),
  );
  host.leave(stop);
  await delay(ANNOUNCE_MILLISECONDS);
  const result = await drainCalls([guard, entry], steadyClock, endsAt);
  stopChecks();
  host.stop();
  if (result === 'limit-reached') {
    entry.endAllCalls();
    await delay(LAST_ANSWERS_MILLISECONDS);
  }
  container.resolve(TOKENS.watches).stop();
  closeServers(container, callers, operators);
  container.resolve(TOKENS.channels).close();
  container.resolve(TOKENS.pools).close();
  container.resolve(TOKENS.metrics).close();
  await container.resolve(TOKENS.log).close();
  await container.resolve(TOKENS.boxList).close();
  callers.closeAllConnections();
  return result;
}

/** Accepts nothing more; calls of callers go on. */
function closeServers(
  container: DependencyContainer,
  callers: Server,
  operators: Server,
): void {
  callers.close();
  callers.closeIdleConnections();
  operators.close();
  operators.closeAllConnections();
  container.resolve(TOKENS.datagrams).stop();
  container.resolve(TOKENS.peerServer).stop();
}
