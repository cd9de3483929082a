// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reports the problems of a node's HTTP servers. */

import type {DependencyContainer} from 'tsyringe';
import type {HttpServerOptions} from '../connection/httpServer.js';
import type {OnServerProblem} from '../connection/guardedRequests.js';
import {FLEET_TOKENS} from './fleetComposition.js';

/** Far more connections than read the metrics of a node. */
const MAXIMUM_LOCAL_CONNECTIONS = 64;

/** Far more requests than wait on a connection for a few short answers. */
const MAXIMUM_LOCAL_REQUESTS = 8;

/** Limits for a server whose answers are long, and that reads no bodies. */
export const METRICS_SERVER_LIMITS: Pick<
  HttpServerOptions,
  'maximumConnections' | 'maximumWaiting' | 'readsBodies'
> = {
  maximumConnections: MAXIMUM_LOCAL_CONNECTIONS,
  maximumWaiting: MAXIMUM_LOCAL_REQUESTS,
  readsBodies: false,
};

/** Returns the function that logs and counts the problems of a server. */
export function serverProblemReporter(
  container: DependencyContainer,
  purpose: string,
): OnServerProblem {
  const log = container.resolve(FLEET_TOKENS.log);
  const metrics = container.resolve(FLEET_TOKENS.metrics);
  return ({kind, detail}) => {
    log.event('server-problem', {purpose, kind, detail});
    metrics.increment('server.problems', {kind});
  };
}
