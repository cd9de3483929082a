// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Generates the configuration versions of a soak. */

import {configurationText} from '@lockpin/platform-stand-ins';
import type {StandInCustomer, StandInRoute} from '@lockpin/platform-stand-ins';

/** The host of all routes. */
export const SOAK_HOST = 'soak.example';

/** A customer with a limit; calls without a key belong to no customer. */
export const FLOODING_CUSTOMER: StandInCustomer = {
  name: 'flooding',
  keys: ['key-of-flooding'],
  callsPerSecond: 40,
  burst: 40,
};

/** The services, assigned to boxes round-robin. */
export const SOAK_SERVICES = ['shop', 'desk'] as const;

/** A route that exists in every version. */
export interface SoakRoute {
  readonly name: string;
  readonly service: string;
  readonly pathPrefix: string;
  readonly isRepeatable: boolean;
  readonly timeoutMilliseconds: number;
}

/** Short, since calls that hang are answered only at this timeout. */
const TIMEOUT_MILLISECONDS = 1200;

/** Returns the routes that callers use. */
export function soakRoutes(): readonly SoakRoute[] {
  return SOAK_SERVICES.flatMap((service) => [
    route(service, 'look', true),
    route(service, 'buy', false),
  ]);
}

/** Returns the path of the marker route, which exists in one version only. */
export function markerPath(version: number): string {
  return `/marker-${version}/`;
}

/** Returns the configuration document of a version. */
export function soakConfiguration(
  version: number,
  customers: readonly StandInCustomer[] = [],
): string {
  const isPublic = customers.length > 0;
  const marker: StandInRoute = {
    name: `marker-${version}`,
    host: SOAK_HOST,
    pathPrefix: markerPath(version),
    isRepeatable: true,
    isPublic,
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    destinations: [{service: SOAK_SERVICES[0], weight: 1}],
  };
  const routes = soakRoutes().map((item) => ({
    ...item,
    host: SOAK_HOST,
    isPublic,
    destinations: [{service: item.service, weight: 1}],
  }));
  return configurationText(
    version,
    SOAK_SERVICES,
    [...routes, marker],
    customers,
  );
}

function route(
  service: string,
  verb: string,
  isRepeatable: boolean,
): SoakRoute {
  return {
    name: `${service}-${verb}`,
    service,
    pathPrefix: `/${service}/${verb}/`,
    isRepeatable,
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
  };
}
