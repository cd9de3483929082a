// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Starts a node of a declared fleet, and stops it so that no call is cut. */

import type {Server} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import type {DependencyContainer} from 'tsyringe';
import {steadyClock} from '@lockpin/utils';
import {startHttpServer} from '../connection/httpServer.js';
import type {RequestHandler} from '../connection/httpServer.js';
import {finishCalls} from './finishCalls.js';
import type {StopResult} from './finishCalls.js';
import {FLEET_TOKENS, versionNews} from './fleetComposition.js';
import {fleetOperatorHandler} from './fleetOperators.js';
import {every} from './timers.js';

/** A node that runs. */
export interface RunningFleetNode {
  /** Whether callers should be sent here. */
  readonly isReady: () => boolean;
  /** Lets callers go elsewhere, finishes what is in flight, and closes; once. */
  readonly stop: () => Promise<StopResult>;
}

/** Guards elsewhere take over at once; this box refuses their calls from then. */
const LEAVE_AFTER_MILLISECONDS = 100;

/**
 * Share of the stop limit in which callers are still served: they are told to
 * go elsewhere by two readiness checks a second apart, and come until then.
 */
const SERVE_SHARE = 0.42;

/** Time for the last answers to go out before connections are closed. */
const LAST_ANSWERS_MILLISECONDS = 50;

/** Kept of the stop limit for the process to end by itself. */
const EXIT_RESERVE_MILLISECONDS = 600;

/** Added to the time after which idle connections of callers are closed. */
const IDLE_ALLOWANCE_MILLISECONDS = 1000;

/** A node that was killed is there again within a second; a look costs little. */
const FOLLOW_AGAIN_MILLISECONDS = 300;

/** Time between lines that say how many bytes went between data centres. */
const TRAFFIC_LINE_MILLISECONDS = 5000;

/** Starts every part of a composed node. */
export async function runFleetNode(
  container: DependencyContainer,
): Promise<RunningFleetNode> {
  const {settings} = container.resolve(FLEET_TOKENS.ports);
  const host = container.resolve(FLEET_TOKENS.host);
  const guard = container.resolve(FLEET_TOKENS.guardService);
  const entry = container.resolve(FLEET_TOKENS.entryService);
  const pools = container.resolve(FLEET_TOKENS.pools);
  const subscribers = container.resolve(FLEET_TOKENS.news);
  const remote = container.resolve(FLEET_TOKENS.remote);
  const followers = container.resolve(FLEET_TOKENS.followers);
  const stopping: StopState = {isStopping: false, closesConnections: false};
  const peerServer = container.resolve(FLEET_TOKENS.peerServer);
  await peerServer.start(settings.peerListenAddress);
  const callers = await startHttpServer(
    settings.callerAddress,
    callerHandler(container, stopping),
  );
  if (settings.metricsAddress !== '') {
    await startHttpServer(
      settings.metricsAddress,
      fleetOperatorHandler(container),
    );
  }
  host.start({
    onGuardEvent: (event) => guard.handle(event),
    onUpstreams: (upstreams) => pools.configure(upstreams),
    onVersion: () => {
      applyLimits(container, callers);
      const news = versionNews(host);
      remote.tell(news);
      subscribers.tell(news);
    },
    onFollow: (peers) => remote.follow(peers),
    onFollowerNews: (news) => followers.tell(news),
    onLimitMessage: (box, message) =>
      remote.tellNode(host.peerAddress(box), message),
    onSilence: (box) => remote.wasSilent(host.peerAddress(box)),
    onStanding: (upstream, hint) =>
      subscribers.tell({kind: 'standing', upstream, hint}),
    onEntryNews: (news) => subscribers.tell(news),
    onNodeNews: (addresses, news) =>
      addresses.forEach((address) => remote.tellNode(address, news)),
    onSuspended: () => {
      entry.reviewDeadlines();
      guard.reviewDeadlines();
    },
    onQuarantined: (digest) => entry.requestQuarantined(digest),
  });
  const stopFollowing = every(FOLLOW_AGAIN_MILLISECONDS, () =>
    remote.keepFollowing(),
  );
  every(TRAFFIC_LINE_MILLISECONDS, () => noteTraffic(container));
  let result: Promise<StopResult> | undefined;
  return {
    isReady: () => host.isReady && !stopping.isStopping,
    stop: () => {
      stopFollowing();
      result ??= stopFleetNode(container, callers, stopping);
      return result;
    },
  };
}

/** What was spent on bytes between data centres, for who reads the logs only. */
function noteTraffic(container: DependencyContainer): void {
  const {betweenDataCentres} = container.resolve(FLEET_TOKENS.peerTraffic);
  container
    .resolve(FLEET_TOKENS.log)
    .event('bytes-between-data-centres', {...betweenDataCentres});
}

/** How far a node has stopped. */
interface StopState {
  /** Callers are told to go elsewhere. */
  isStopping: boolean;
  /** Each answer ends its connection. */
  closesConnections: boolean;
}

function callerHandler(
  container: DependencyContainer,
  stopping: Readonly<StopState>,
): RequestHandler {
  const entry = container.resolve(FLEET_TOKENS.entryService);
  return (request, response) => {
    if (stopping.closesConnections) {
      response.shouldKeepAlive = false;
    }
    void entry.serve(request, response);
  };
}

/** The limits of the version in force hold for connections, old and new. */
function applyLimits(container: DependencyContainer, callers: Server): void {
  const host = container.resolve(FLEET_TOKENS.host);
  const limits = host.routing?.configuration.limits;
  if (limits === undefined) {
    return;
  }
  callers.keepAliveTimeout =
    limits.idleMilliseconds + IDLE_ALLOWANCE_MILLISECONDS;
  callers.headersTimeout = limits.headerMilliseconds;
}

async function stopFleetNode(
  container: DependencyContainer,
  callers: Server,
  stopping: StopState,
): Promise<StopResult> {
  const host = container.resolve(FLEET_TOKENS.host);
  const guard = container.resolve(FLEET_TOKENS.guardService);
  const entry = container.resolve(FLEET_TOKENS.entryService);
  const {stopLimitMilliseconds} = host.settings;
  const begunAt = steadyClock();
  const limit = begunAt + stopLimitMilliseconds - EXIT_RESERVE_MILLISECONDS;
  stopping.isStopping = true;
  await pause(LEAVE_AFTER_MILLISECONDS);
  host.leave();
  await pause(stopLimitMilliseconds * SERVE_SHARE - LEAVE_AFTER_MILLISECONDS);
  stopping.closesConnections = true;
  // A connection that was opened and has carried no request yet counts as busy.
  host.finish();
  callers.close();
  callers.closeIdleConnections();
  const result = await finishCalls([guard, entry], steadyClock, limit);
  host.stop();
  if (result === 'limit-reached') {
    entry.giveUpAll();
    await pause(LAST_ANSWERS_MILLISECONDS);
  }
  // At once when all is finished, so that no call can come in between.
  callers.closeAllConnections();
  container.resolve(FLEET_TOKENS.peerServer).stop();
  container.resolve(FLEET_TOKENS.channels).close();
  container.resolve(FLEET_TOKENS.pools).close();
  return result;
}
