// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Finds the route of a call by its host and the longest matching path prefix.
 */

import type {
  DeclaredConfiguration,
  DeclaredRoute,
} from './declaredConfiguration.js';

/** The routes of one version. Prefixes begin and end with a slash. */
export class RouteTable {
  private readonly byHost = new Map<string, Map<string, DeclaredRoute>>();
  private readonly longestPrefixLength: number;

  constructor({routes}: Pick<DeclaredConfiguration, 'routes'>) {
    for (const route of routes) {
      const host = route.host.toLowerCase();
      const byPrefix = this.byHost.get(host) ?? new Map();
      byPrefix.set(route.rules.spec.pathPrefix, route);
      this.byHost.set(host, byPrefix);
    }
    this.longestPrefixLength = routes.reduce(
      (longest, {rules}) => Math.max(longest, rules.spec.pathPrefix.length),
      0,
    );
  }

  /** The route of a call; the host may carry a port. */
  find(host: string, path: string): DeclaredRoute | undefined {
    const name = host.toLowerCase();
    const byPrefix =
      this.byHost.get(name) ?? this.byHost.get(name.replace(/:\d+$/, ''));
    // Looking up each part of a long path would take time by the square of it.
    const beginning = withoutQuery(path).slice(0, this.longestPrefixLength);
    return byPrefix && longestPrefix(byPrefix, beginning);
  }
}

function longestPrefix(
  byPrefix: ReadonlyMap<string, DeclaredRoute>,
  path: string,
): DeclaredRoute | undefined {
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const found = byPrefix.get(path.slice(0, end + 1));
    if (found !== undefined) {
      return found;
    }
    end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
  }
  return undefined;
}

function withoutQuery(path: string): string {
  const mark = path.indexOf('?');
  return mark < 0 ? path : path.slice(0, mark);
}
