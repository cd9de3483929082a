// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Starts a node's servers, and stops them without interrupting calls in flight.
 */

import type {Server} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {DependencyContainer} from 'tsyringe';
import {isUsable} from '@lockpin/membership';
import {steadyClock} from '@lockpin/utils';
import {startHttpServer} from '../connection/httpServer.js';
import {TOKENS} from './composition.js';
import {
  LAST_ANSWERS_MILLISECONDS,
  UNSTARTED_CHECK_MILLISECONDS,
  drainCalls,
} from './drainCalls.js';
import type {StopResult} from './drainCalls.js';

/** A running node. */
export interface RunningNode {
  /** Refuses new calls, finishes calls in flight and closes; idempotent. */
  readonly stop: () => Promise<StopResult>;
}

/** Interval between updates of the gauges. */
const GAUGE_INTERVAL_MILLISECONDS = 10_000;

/** Time for other nodes to learn that this node leaves. */
const ANNOUNCE_MILLISECONDS = 500;

/** Starts all components of a composed node. */
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
  await peerServer.start(settings.peerAddress);
  await datagrams.start();
  const callers = await startHttpServer(
    settings.callerAddress,
    container.resolve(TOKENS.callerApp),
  );
  const operators = await startHttpServer(
    settings.operatorAddress,
    container.resolve(TOKENS.operatorApp),
  );
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
  let stopping: Promise<StopResult> | undefined;
  const stop = (): Promise<StopResult> => {
    stopGauges();
    return stopNode(container, callers, operators);
  };
  return {stop: () => (stopping ??= stop())};
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
  callers.close();
  callers.closeIdleConnections();
  operators.close();
  operators.closeAllConnections();
  container.resolve(TOKENS.datagrams).stop();
  container.resolve(TOKENS.peerServer).stop();
  container.resolve(TOKENS.channels).close();
  container.resolve(TOKENS.pools).close();
  container.resolve(TOKENS.metrics).close();
  await container.resolve(TOKENS.log).close();
  await container.resolve(TOKENS.boxList).close();
  callers.closeAllConnections();
  return result;
}
