// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The HTTP handler for operators of a node in a declared fleet. */

import type {DependencyContainer} from 'tsyringe';
import {steadyClock} from '@lockpin/utils';
import type {RequestHandler} from '../connection/httpServer.js';
import {createFleetStatusApi} from '../operators/fleetStatusApi.js';
import {createQuarantineApi} from '../operators/quarantineApi.js';
import {FLEET_TOKENS} from './fleetComposition.js';

const STATUS_PATH = '/status';

/** Path prefixes of the operators' API; all other paths serve the metrics. */
const API_PATHS = [STATUS_PATH, '/resources', '/quarantines/'] as const;

/** Creates the handler of the operators' API and the metrics. */
export function fleetOperatorHandler(
  container: DependencyContainer,
): RequestHandler {
  const host = container.resolve(FLEET_TOKENS.host);
  const {operatorTokenHash = ''} = container.resolve(FLEET_TOKENS.ports);
  const metrics = metricsHandler(container);
  const status = createFleetStatusApi({
    tokenHash: operatorTokenHash,
    host,
    clock: steadyClock,
  });
  const quarantines = createQuarantineApi({
    tokenHash: operatorTokenHash,
    version: () => host.fleet.version,
    quarantinedRequests: () => host.fleet.suspects.quarantined(steadyClock()),
    lift: (digest) => host.liftQuarantine(digest),
  });
  return (request, response) => {
    const path = request.url ?? '';
    const api = path.startsWith(STATUS_PATH) ? status : quarantines;
    const isApi = API_PATHS.some((prefix) => path.startsWith(prefix));
    return (isApi ? api : metrics)(request, response);
  };
}

/** Shown for an upstream that states no limit, or whose retries have none. */
const NO_LIMIT = -1;

function metricsHandler(container: DependencyContainer): RequestHandler {
  const metrics = container.resolve(FLEET_TOKENS.metrics);
  const host = container.resolve(FLEET_TOKENS.host);
  const guard = container.resolve(FLEET_TOKENS.guardService);
  const writer = container.resolve(FLEET_TOKENS.writer);
  const answerMemory = container.resolve(FLEET_TOKENS.answerMemory);
  const listeners = container.resolve(FLEET_TOKENS.listeners);
  return async (_request, response) => {
    metrics.gauge('guard.occupied', guard.callCount);
    metrics.gauge('answers.bufferedBytes', answerMemory?.used ?? 0);
    metrics.gauge('configuration.version', host.fleet.version);
    metrics.gauge('requests.suspected', host.fleet.suspects.count);
    metrics.gauge('records.wrong', host.fleet.invalidRecordCount);
    metrics.gauge('announcements.refused', host.refusedAnnouncements);
    metrics.gauge('members.usable', host.fleet.directory.size);
    const {readerRole} = host.fleet;
    const now = steadyClock();
    const isReadingStore = readerRole.isReadingStore(now);
    metrics.gauge('store.reads', isReadingStore ? 1 : 0);
    metrics.gauge(
      'store.pollers',
      isReadingStore ? readerRole.readers.pollPhase(now).readers : 0,
    );
    metrics.gauge('store.newsAgeMilliseconds', readerRole.staleness(now) ?? -1);
    metrics.gauge('store.era', host.fleet.storeEra.current ?? -1);
    metrics.gauge('store.restores', host.fleet.storeEra.restoreCount);
    metrics.gauge(
      'readers.followed',
      readerRole.readers.followed(now).near.length,
    );
    metrics.gauge(
      'readers.heard',
      readerRole.readers.hasActiveReader(now) ? 1 : 0,
    );
    for (const known of host.entry.loads.capacity.summaries(now)) {
      const {service, upstreams, freeSlots, retriesLeft} = known;
      metrics.gauge('capacity.upstreams', upstreams, {service});
      metrics.gauge('capacity.freeSlots', freeSlots, {service});
      metrics.gauge('capacity.retriesLeft', retriesLeft, {service});
    }
    metrics.gauge('addresses.waiting', listeners.waitingCount);
    metrics.gauge('log.dropped', writer.counts.dropped);
    for (const {upstream, ...standing} of host.guard.standings(now)) {
      const {requestsPerSecond = NO_LIMIT, isLeaving} = standing;
      const {limit, retriesLeft = NO_LIMIT} = standing;
      metrics.gauge('upstream.concurrency', limit, {upstream});
      metrics.gauge('upstream.retriesLeft', retriesLeft, {upstream});
      metrics.gauge('upstream.limit', requestsPerSecond, {upstream});
      metrics.gauge('upstream.leaving', isLeaving ? 1 : 0, {upstream});
    }
    response.end(await metrics.text());
  };
}
