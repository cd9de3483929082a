// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The two deployments of the users, as tools and tests reproduce them. */

/** A route, with the share of the generated traffic that it receives. */
export interface DeployedRoute {
  readonly name: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly repetition: 'repeatable' | 'once-only';
  readonly waitMilliseconds: number;
  readonly priority: number;
  /** Share of all calls of the deployment. */
  readonly trafficShare: number;
}

/** A service and its number of upstreams. */
export interface DeployedService {
  readonly name: string;
  readonly targets: number;
  readonly floorSlots: number;
  readonly sensitivity: 'fast' | 'balanced' | 'careful';
  readonly routes: readonly DeployedRoute[];
}

/** The boxes, services and upstreams of one site. */
export interface Deployment {
  readonly customer: string;
  readonly dataCentres: readonly string[];
  readonly boxes: number;
  readonly slots: number;
  readonly connections: number;
  readonly services: readonly DeployedService[];
}

const muscat: Deployment = {
  customer: 'barid',
  dataCentres: ['rusayl', 'ghala', 'seeb'],
  boxes: 7,
  slots: 4,
  connections: 300,
  services: [
    {
      name: 'telemetry',
      targets: 15,
      floorSlots: 40,
      sensitivity: 'balanced',
      routes: [
        repeatable('readings', '/readings', 2000, 2, 0.45),
        repeatable('trips', '/trips', 4000, 5, 0.2),
        repeatable('shelf-life', '/shelf-life', 4000, 6, 0.08),
        repeatable('calibration', '/calibration', 8000, 8, 0.05),
        onceOnly('claims', '/claims', 8000, 4, 0.05),
      ],
    },
    {
      name: 'alerts',
      targets: 6,
      floorSlots: 16,
      sensitivity: 'careful',
      routes: [
        onceOnly('tickets', '/tickets', 4000, 1, 0.07),
        repeatable('open-tickets', '/open-tickets', 2000, 4, 0.1),
      ],
    },
  ],
};

const monterrey: Deployment = {
  customer: 'juego',
  dataCentres: ['centro', 'apodaca', 'sanpedro', 'escobedo'],
  boxes: 8,
  slots: 3,
  connections: 400,
  services: [
    {
      name: 'lobby',
      targets: 25,
      floorSlots: 50,
      sensitivity: 'fast',
      routes: [
        repeatable('lobbies', '/lobbies', 1500, 3, 0.45),
        onceOnly('payments', '/payments', 4000, 1, 0.1),
      ],
    },
    {
      name: 'grid',
      targets: 8,
      floorSlots: 15,
      sensitivity: 'fast',
      routes: [
        onceOnly('claims', '/claims', 2000, 0, 0.1),
        repeatable('rankings', '/rankings', 1500, 4, 0.25),
        repeatable('ratings', '/ratings', 1000, 3, 0.1),
      ],
    },
  ],
};

/** Deployments by name. */
export const DEPLOYMENTS = {muscat, monterrey} as const;

/** Name of a deployment. */
export type DeploymentName = keyof typeof DEPLOYMENTS;

function repeatable(
  name: string,
  path: string,
  waitMilliseconds: number,
  priority: number,
  trafficShare: number,
): DeployedRoute {
  return {
    name,
    method: 'GET',
    path,
    repetition: 'repeatable',
    waitMilliseconds,
    priority,
    trafficShare,
  };
}

function onceOnly(
  name: string,
  path: string,
  waitMilliseconds: number,
  priority: number,
  trafficShare: number,
): DeployedRoute {
  return {
    name,
    method: 'POST',
    path,
    repetition: 'once-only',
    waitMilliseconds,
    priority,
    trafficShare,
  };
}
