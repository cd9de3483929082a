// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** An immutable view of a service at one version, for a request to use. */

import type {Resource, RouteSpec} from '@lockpin/types';

/** A service with everything a call to it needs. */
export interface ServiceView {
  readonly name: string;
  readonly customer: string;
  readonly service: Resource<'Service'>;
  readonly upstreams: readonly Resource<'Upstream'>[];
  /** Longest path first, so that the first match is the most specific. */
  readonly routes: readonly Resource<'Route'>[];
}

/** Sorts the routes into the order in which they are matched. */
export function orderRoutes(
  routes: readonly Resource<'Route'>[],
): readonly Resource<'Route'>[] {
  return [...routes].sort(
    (a, b) =>
      b.spec.pathPrefix.length - a.spec.pathPrefix.length ||
      Number(a.spec.method === '*') - Number(b.spec.method === '*') ||
      (a.name < b.name ? -1 : 1),
  );
}

/** The route that matches a call, or undefined if none does. */
export function findRoute(
  view: ServiceView,
  method: string,
  path: string,
): Resource<'Route'> | undefined {
  return view.routes.find(({spec}) => routeMatches(spec, method, path));
}

function routeMatches(spec: RouteSpec, method: string, path: string): boolean {
  if (spec.method !== '*' && spec.method !== method) {
    return false;
  }
  const prefix = spec.pathPrefix;
  if (!path.startsWith(prefix)) {
    return false;
  }
  const next = path.charAt(prefix.length);
  return prefix.endsWith('/') || next === '' || next === '/' || next === '?';
}

/** Total slots of the upstreams that accept new work. */
export function inServiceSlots(view: ServiceView): number {
  return view.upstreams
    .filter(({spec}) => spec.state === 'in-service')
    .reduce((sum, {spec}) => sum + spec.slots, 0);
}
