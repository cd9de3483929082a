// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Starts a node of a declared fleet, and stops it without interrupting calls.
 */

import type {Server} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import type {DependencyContainer} from 'tsyringe';
import type {PlannedStop} from '@lockpin/brain';
import {steadyClock} from '@lockpin/utils';
import {listenOn} from '../connection/addressListeners.js';
import type {RequestHandler} from '../connection/httpServer.js';
import type {GivenUpCalls} from '../request/givenUpCalls.js';
import {
  LAST_ANSWERS_MILLISECONDS,
  UNSTARTED_CHECK_MILLISECONDS,
  drainCalls,
} from './drainCalls.js';
import type {StopResult} from './drainCalls.js';
import {watchEventLoop} from './eventLoopWatch.js';
import {FLEET_TOKENS, versionNews} from './fleetComposition.js';
import type {FleetHost} from './fleetHost.js';
import {
  createFleetHttpServer,
  listenForMetrics,
  listenForPeers,
} from './fleetListeners.js';
import {every} from './timers.js';

/** A running node. */
export interface RunningFleetNode {
  /**
   * Whether callers should use this node: not before callers and other nodes
   * can reach it. A box is taken away soon after its upstream: a long call that
   * arrives after the upstream began to leave might outlast the node, so that
   * callers are sent elsewhere from then on. Calls that arrive nevertheless are
   * served.
   */
  readonly isReady: () => boolean;
  /**
   * Redirects callers to other nodes, finishes calls in flight and closes;
   * idempotent.
   */
  readonly stop: () => Promise<FleetStopResult>;
  /** Resolves once the attempts to listen for callers and nodes have ended. */
  readonly listening: Promise<unknown>;
}

/** How a stop ended, with counts of what was given up at its limit. */
export interface FleetStopResult {
  /** The limit counts as reached only if something was given up. */
  readonly result: StopResult;
  readonly givenUp: GivenUpAtStop | undefined;
}

/** What was given up at the limit of a stop. */
export interface GivenUpAtStop extends Readonly<GivenUpCalls> {
  /** Calls of other nodes that the upstream of this box was running. */
  readonly ofOtherNodes: number;
  /** Answers that their readers had not taken whole. */
  readonly unread: number;
}

/**
 * Delay from the stop signal until the guard of this box refuses new calls.
 * Guards of other boxes then take over at once.
 */
const LEAVE_DELAY_MILLISECONDS = 100;

/**
 * Share of the stop limit during which callers are still served: they stop
 * using this node only after two failed readiness checks, a second apart.
 */
const SERVE_SHARE = 0.42;

/** Part of the stop limit reserved for the process to exit. */
const EXIT_RESERVE_MILLISECONDS = 600;

/**
 * Margin added to the time after which idle connections of callers are closed.
 */
const IDLE_MARGIN_MILLISECONDS = 1000;

/**
 * Interval between checks for followed nodes to reconnect to. A killed node is
 * back within a second, and a check is cheap.
 */
const REFOLLOW_INTERVAL_MILLISECONDS = 300;

/** Interval between log lines on the traffic between data centres. */
const TRAFFIC_LOG_INTERVAL_MILLISECONDS = 5000;

/** Starts all components of a composed node, and waits for its addresses. */
export async function runFleetNode(
  container: DependencyContainer,
): Promise<RunningFleetNode> {
  const node = startFleetNode(container);
  await node.listening;
  return node;
}

/**
 * Starts all components of a composed node. It can be stopped at once, and
 * listens on each of its addresses as soon as that is free.
 */
export function startFleetNode(
  container: DependencyContainer,
): RunningFleetNode {
  const host = container.resolve(FLEET_TOKENS.host);
  const remote = container.resolve(FLEET_TOKENS.remote);
  const listeners = container.resolve(FLEET_TOKENS.listeners);
  const stopping: StopState = {isStopping: false};
  const callers = createFleetHttpServer(
    container,
    'callers',
    'callers',
    callerHandler(container),
  );
  startHost(container, callers);
  const peerListener = listenForPeers(container);
  const callerListener = listeners.listen({
    purpose: 'callers',
    address: () => host.settings.callerAddress,
    listen: (address) => listenOn(callers, address),
  });
  listenForMetrics(container);
  const stopFollowing = every(REFOLLOW_INTERVAL_MILLISECONDS, () =>
    remote.reopenFollowed(),
  );
  every(TRAFFIC_LOG_INTERVAL_MILLISECONDS, () => logTraffic(container));
  watchEventLoop(every, (loop) =>
    container.resolve(FLEET_TOKENS.log).event('event-loop-busy', {...loop}),
  );
  const isReachable = (): boolean =>
    callerListener.isListening && peerListener.isListening;
  let result: Promise<FleetStopResult> | undefined;
  return {
    isReady: () =>
      isReachable() &&
      host.isReady &&
      !host.isUpstreamLeaving &&
      !stopping.isStopping,
    stop: () => {
      stopFollowing();
      listeners.stop();
      result ??=
        callerListener.isListening || peerListener.isListening
          ? stopFleetNode(container, callers, stopping)
          : stopUnreachedNode(host);
      return result;
    },
    listening: Promise.all([callerListener.ended, peerListener.ended]),
  };
}

/** Stops a node that nobody could reach yet: nothing is in progress. */
async function stopUnreachedNode(host: FleetHost): Promise<FleetStopResult> {
  host.leave(planStop(host.settings.stopLimitMilliseconds));
  host.stop();
  return {result: 'finished', givenUp: undefined};
}

function startHost(container: DependencyContainer, callers: Server): void {
  const {settings} = container.resolve(FLEET_TOKENS.ports);
  const host = container.resolve(FLEET_TOKENS.host);
  const guard = container.resolve(FLEET_TOKENS.guardService);
  const entry = container.resolve(FLEET_TOKENS.entryService);
  const pools = container.resolve(FLEET_TOKENS.pools);
  const subscribers = container.resolve(FLEET_TOKENS.news);
  const remote = container.resolve(FLEET_TOKENS.remote);
  const followers = container.resolve(FLEET_TOKENS.followers);
  host.start({
    onGuardEvent: (event) => guard.handle(event),
    onUpstreams: (upstreams) => pools.configure(upstreams),
    onVersion: () => {
      applyLimits(container, callers);
      const news = versionNews(host);
      remote.broadcastNews(news);
      subscribers.notify(news);
    },
    onFollow: (peers) => remote.follow(peers),
    onFollowerUpdate: (news) => followers.notify(news),
    onLimitMessage: (box, message) =>
      remote.sendNews(host.peerAddress(box), message),
    onUnresponsive: (box) => remote.countUnansweredOffer(host.peerAddress(box)),
    onStanding: (upstream, hint) =>
      subscribers.notify({kind: 'standing', upstream, hint}),
    onEntryUpdate: (news) => subscribers.notify(news),
    onNodeUpdate: (addresses, news) =>
      addresses.forEach((address) => remote.sendNews(address, news)),
    onVersionRequest: (address, clock) =>
      remote.sendNews(address, {
        kind: 'version-request',
        address: settings.peerAddress,
        clock,
      }),
    onPeerUnresponsive: (address) => remote.renewUnresponsive(address),
    onSuspended: () => {
      entry.restartDeadlineTimers();
      guard.restartDeadlineTimers();
    },
    onQuarantined: (digest) => entry.refuseQuarantined(digest),
  });
}

/**
 * Logs the traffic between data centres, for deployments that only collect
 * logs.
 */
function logTraffic(container: DependencyContainer): void {
  const {betweenDataCentres} = container.resolve(FLEET_TOKENS.peerTraffic);
  container
    .resolve(FLEET_TOKENS.log)
    .event('bytes-between-data-centres', {...betweenDataCentres});
}

/** Progress of a node's stop. */
interface StopState {
  /** Whether callers are told to use other nodes. */
  isStopping: boolean;
}

function callerHandler(container: DependencyContainer): RequestHandler {
  const entry = container.resolve(FLEET_TOKENS.entryService);
  return (request, response) => void entry.serve(request, response);
}

/**
 * Applies the limits of the version in force to existing and new connections.
 */
function applyLimits(container: DependencyContainer, callers: Server): void {
  const host = container.resolve(FLEET_TOKENS.host);
  const limits = host.routing?.configuration.limits;
  if (limits === undefined) {
    return;
  }
  callers.keepAliveTimeout = limits.idleMilliseconds + IDLE_MARGIN_MILLISECONDS;
  callers.headersTimeout = limits.headerMilliseconds;
}

async function stopFleetNode(
  container: DependencyContainer,
  callers: Server,
  stopping: StopState,
): Promise<FleetStopResult> {
  const host = container.resolve(FLEET_TOKENS.host);
  const entry = container.resolve(FLEET_TOKENS.entryService);
  const stop = planStop(host.settings.stopLimitMilliseconds);
  stopping.isStopping = true;
  entry.planStop(stop);
  const stopChecks = every(UNSTARTED_CHECK_MILLISECONDS, () =>
    entry.refuseUnstarted(),
  );
  await delay(LEAVE_DELAY_MILLISECONDS);
  host.leave(stop);
  await delay(Math.max(0, stop.callersGoneAt - steadyClock()));
  // The calls that run on this box may still make calls of their own here.
  host.refuseNewCalls();
  const result = await endCalls(container, stop);
  stopChecks();
  // Immediately after the last call, so that no new call can arrive.
  callers.close();
  callers.closeAllConnections();
  container.resolve(FLEET_TOKENS.peerServer).stop();
  container.resolve(FLEET_TOKENS.channels).close();
  container.resolve(FLEET_TOKENS.pools).close();
  return result;
}

function planStop(stopLimitMilliseconds: number): PlannedStop {
  const startedAt = steadyClock();
  return {
    endsAt: startedAt + stopLimitMilliseconds - EXIT_RESERVE_MILLISECONDS,
    callersGoneAt: startedAt + stopLimitMilliseconds * SERVE_SHARE,
  };
}

/** Waits for all calls; ends those that still run at the limit. */
async function endCalls(
  container: DependencyContainer,
  {endsAt}: PlannedStop,
): Promise<FleetStopResult> {
  const guard = container.resolve(FLEET_TOKENS.guardService);
  const entry = container.resolve(FLEET_TOKENS.entryService);
  const unreadAnswers = {
    get callCount() {
      return guard.unreadAnswerCount;
    },
  };
  const counters = [guard, entry, unreadAnswers];
  const drained = await drainCalls(counters, steadyClock, endsAt);
  container.resolve(FLEET_TOKENS.host).stop();
  if (drained === 'finished') {
    return {result: drained, givenUp: undefined};
  }
  const unsent = entry.unsentCount;
  const ofCallers = entry.endAllCalls();
  const givenUp: GivenUpAtStop = {
    ...ofCallers,
    ofOtherNodes: guard.callCount,
    unread: unsent + guard.unreadAnswerCount,
  };
  await delay(LAST_ANSWERS_MILLISECONDS);
  const isAny = Object.values(givenUp).some((count) => count > 0);
  return {result: isAny ? 'limit-reached' : 'finished', givenUp};
}
