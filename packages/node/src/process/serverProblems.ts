// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reports the problems of a node's HTTP servers. */

import type {HttpServerOptions} from '../connection/httpServer.js';
import type {OnServerProblem} from '../connection/guardedRequests.js';
import type {DecisionLog} from './decisionLog.js';
import type {NodeMetrics} from './metrics.js';

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
  log: Pick<DecisionLog, 'event'>,
  metrics: Pick<NodeMetrics, 'increment'>,
  purpose: string,
): OnServerProblem {
  return ({kind, detail}) => {
    log.event('server-problem', {purpose, kind, detail});
    metrics.increment('server.problems', {kind});
  };
}
