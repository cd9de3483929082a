// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The services and routes of a soak, and how each version differs. */

import {configurationText} from '@lockpin/platform-stand-ins';
import type {StandInRoute} from '@lockpin/platform-stand-ins';

/** All routes are of this host. */
export const SOAK_HOST = 'soak.example';

/** The services; boxes have their upstreams in turn. */
export const SOAK_SERVICES = ['shop', 'desk'] as const;

/** A route that is there in every version. */
export interface SoakRoute {
  readonly name: string;
  readonly service: string;
  readonly pathPrefix: string;
  readonly isRepeatable: boolean;
  readonly timeoutMilliseconds: number;
}

/** Calls that hang are answered at the limit of their route, so it is short. */
const TIMEOUT_MILLISECONDS = 1200;

/** The routes that callers use. */
export function soakRoutes(): readonly SoakRoute[] {
  return SOAK_SERVICES.flatMap((service) => [
    route(service, 'look', true),
    route(service, 'buy', false),
  ]);
}

/** The path of the route that exists in one version only. */
export function markerPath(version: number): string {
  return `/marker-${version}/`;
}

/** The document of a version. */
export function soakConfiguration(version: number): string {
  const marker: StandInRoute = {
    name: `marker-${version}`,
    host: SOAK_HOST,
    pathPrefix: markerPath(version),
    isRepeatable: true,
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    destinations: [{service: SOAK_SERVICES[0], weight: 1}],
  };
  const routes = soakRoutes().map((item) => ({
    ...item,
    host: SOAK_HOST,
    destinations: [{service: item.service, weight: 1}],
  }));
  return configurationText(version, SOAK_SERVICES, [...routes, marker]);
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
