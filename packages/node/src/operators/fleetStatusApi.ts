// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The status that a node of a declared fleet reports of itself. */

import type {FleetHost} from '../process/fleetHost.js';
import type {RequestHandler} from '../connection/httpServer.js';
import {sendJson} from '../request/callerApp.js';
import {hasBootstrapToken} from './access.js';
import {sendApiFailure} from './apiProblem.js';

/** Dependencies of the status API. */
export interface FleetStatusApiDependencies {
  /** salt:hash of the required token; empty to reject all requests. */
  readonly tokenHash: string;
  readonly host: FleetHost;
  readonly clock: () => number;
}

/** Serves GET /status to operators with the bootstrap token. */
export function createFleetStatusApi({
  tokenHash,
  host,
  clock,
}: FleetStatusApiDependencies): RequestHandler {
  return (request, response) => {
    if (hasBootstrapToken(tokenHash, request)) {
      sendJson(response, 200, fleetNodeStatus(clock(), host));
    } else {
      sendApiFailure(response, {kind: 'token-wrong'});
    }
  };
}

/** Other members are not listed: nodes do not know their operator addresses. */
function fleetNodeStatus(now: number, host: FleetHost): unknown {
  const {fleet, guard, entry, settings} = host;
  const {box, dataCentre} = settings;
  return {
    box,
    dataCentre,
    isLeaving: host.refusesCalls,
    version: fleet.version,
    digest: String(fleet.directory.digest),
    logEra: fleet.storeEra.current ?? 0,
    isFoldingAnew: false,
    callsAtEntry: entry.callCount,
    callsAtGuard: guard.callCount,
    upstreams: guard.standings(now),
    members: [],
  };
}
