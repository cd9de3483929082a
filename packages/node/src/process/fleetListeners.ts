// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The servers of a node in a declared fleet, and where they listen. */

import type {Server} from 'node:http';
import type {DependencyContainer} from 'tsyringe';
import {listenOn} from '../connection/addressListeners.js';
import type {AddressListener} from '../connection/addressListeners.js';
import {connectionBounds} from '../connection/connectionBounds.js';
import {createHttpServer} from '../connection/httpServer.js';
import type {
  HttpServerOptions,
  RequestHandler,
} from '../connection/httpServer.js';
import {FLEET_TOKENS} from './fleetComposition.js';
import {fleetOperatorHandler} from './fleetOperators.js';
import {
  METRICS_SERVER_LIMITS,
  serverProblemReporter,
} from './serverProblems.js';

/** What the metrics' address is for, in reports on it. */
export const METRICS_PURPOSE = 'metrics';

/** Who connects to a server; see ConnectionBounds. */
export type ServerClients = 'callers' | 'local';

/** Creates a server with bounded connections, whose problems are logged. */
export function createFleetHttpServer(
  container: DependencyContainer,
  purpose: string,
  clients: ServerClients,
  handler: RequestHandler,
  limits: HttpServerOptions = {},
): Server {
  const {descriptors} = container.resolve(FLEET_TOKENS.host).settings;
  const {maximumConnections = Number.POSITIVE_INFINITY} = limits;
  return createHttpServer(handler, {
    ...limits,
    maximumConnections: Math.min(
      maximumConnections,
      connectionBounds(descriptors)[clients],
    ),
    onProblem: serverProblemReporter(
      container.resolve(FLEET_TOKENS.log),
      container.resolve(FLEET_TOKENS.metrics),
      purpose,
    ),
  });
}

/**
 * Listens for other nodes, which are not offered the upstream of this box before.
 * The peer address is this node's identity and stays as
 * it was composed.
 */
export function listenForPeers(
  container: DependencyContainer,
): AddressListener {
  const {settings} = container.resolve(FLEET_TOKENS.ports);
  const peerServer = container.resolve(FLEET_TOKENS.peerServer);
  const host = container.resolve(FLEET_TOKENS.host);
  host.setReachable(false);
  return container.resolve(FLEET_TOKENS.listeners).listen({
    purpose: 'peers',
    address: () => settings.peerListenAddress,
    listen: async (address) => {
      await peerServer.start(address);
      host.setReachable(true);
    },
  });
}

/** Listens for metrics; the node serves without them meanwhile. */
export function listenForMetrics(container: DependencyContainer): void {
  const host = container.resolve(FLEET_TOKENS.host);
  if (host.settings.metricsAddress === '') {
    return;
  }
  const server = createFleetHttpServer(
    container,
    METRICS_PURPOSE,
    'local',
    fleetOperatorHandler(container),
    METRICS_SERVER_LIMITS,
  );
  container.resolve(FLEET_TOKENS.listeners).listen({
    purpose: METRICS_PURPOSE,
    address: () => host.settings.metricsAddress,
    listen: (address) => listenOn(server, address),
  });
}
