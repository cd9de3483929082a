// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What no declared configuration may hold; one that does is not put in force. */

import type {
  ConfigurationProblem,
  DeclaredConfiguration,
  DeclaredCustomer,
  DeclaredRoute,
} from './declaredConfiguration.js';

/** The first problem of a configuration; undefined for a sound one. */
export function checkConfiguration({
  routes,
  services,
  customers,
}: DeclaredConfiguration): ConfigurationProblem | undefined {
  const names = new Set(services.map(({name}) => name));
  return (
    firstProblem(routes, (route) => routeProblem(route, names)) ??
    sharedKey(customers)
  );
}

function firstProblem<T>(
  items: readonly T[],
  problemOf: (item: T) => ConfigurationProblem | undefined,
): ConfigurationProblem | undefined {
  for (const item of items) {
    const problem = problemOf(item);
    if (problem !== undefined) {
      return problem;
    }
  }
  return undefined;
}

function routeProblem(
  {rules, destinations}: DeclaredRoute,
  services: ReadonlySet<string>,
): ConfigurationProblem | undefined {
  const {pathPrefix} = rules.spec;
  if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) {
    return {
      field: `routes.${rules.name}.pathPrefix`,
      problem: 'begin and end it with a slash',
    };
  }
  const unknown = destinations.find(({service}) => !services.has(service));
  return unknown === undefined
    ? undefined
    : {
        field: `routes.${rules.name}.destinations`,
        problem: `there is no service ${unknown.service}`,
      };
}

/** A key names one customer; of two, one would be charged for the other's calls. */
function sharedKey(
  customers: readonly DeclaredCustomer[],
): ConfigurationProblem | undefined {
  const owners = new Map<string, string>();
  return firstProblem(customers, ({name, keyHashes}) => {
    const other = keyHashes
      .map((hash) => owners.get(hash))
      .find((owner) => owner !== undefined && owner !== name);
    keyHashes.forEach((hash) => owners.set(hash, name));
    return other === undefined
      ? undefined
      : {
          field: `customers.${name}.keys`,
          problem: `customer ${other} has one of them too`,
        };
  });
}
