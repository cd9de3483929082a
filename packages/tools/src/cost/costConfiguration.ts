// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The configuration of a fleet whose processor time is measured. */

import {configurationText} from '@lockpin/platform-stand-ins';
import type {StandInRoute} from '@lockpin/platform-stand-ins';
import {
  SOAK_HOST,
  SOAK_SERVICES,
  soakRoutes,
} from '../soak/soakConfiguration.js';
import type {SoakRoute} from '../soak/soakConfiguration.js';

/** Key of a customer that is over its limit after its first calls. */
export const LIMITED_KEY = 'key-of-limited';

/** The service whose upstreams are filled to measure refusals. */
export const FILLED_SERVICE = SOAK_SERVICES[1];

/** Timeout of the calls that fill the upstreams of a service. */
export const FILL_MILLISECONDS = 60_000;

/** The route of the calls that fill the upstreams of a service. */
export const FILL_ROUTE: SoakRoute = {
  name: 'fill',
  service: FILLED_SERVICE,
  pathPrefix: '/fill/',
  isRepeatable: false,
  timeoutMilliseconds: FILL_MILLISECONDS,
};

/** Returns the document of a version, with or without a limited customer. */
export function costConfiguration(version: number, isLimited: boolean): string {
  const routes = [...soakRoutes(), FILL_ROUTE].map((route): StandInRoute => ({
    ...route,
    host: SOAK_HOST,
    isPublic: true,
    destinations: [{service: route.service, weight: 1}],
  }));
  const limited = {
    name: 'limited',
    keys: [LIMITED_KEY],
    callsPerSecond: 1,
    burst: 1,
  };
  const customers = isLimited ? [limited] : [];
  return configurationText(version, SOAK_SERVICES, routes, customers);
}
