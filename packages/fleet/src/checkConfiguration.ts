// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Validates declared configurations; an invalid one is not put in force. */

import type {
  ConfigurationProblem,
  DeclaredConfiguration,
  DeclaredCustomer,
  DeclaredRoute,
} from './declaredConfiguration.js';

/** The first problem of a configuration; undefined if it is valid. */
export function checkConfiguration({
  routes,
  services,
  customers,
}: DeclaredConfiguration): ConfigurationProblem | undefined {
  const names = new Set(services.map(({name}) => name));
  return (
    firstProblem(routes, (route) => routeProblem(route, names)) ??
    sharedKeyProblem(customers)
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
      problem: 'must begin and end with a slash',
    };
  }
  const unknown = destinations.find(({service}) => !services.has(service));
  return unknown === undefined
    ? undefined
    : {
        field: `routes.${rules.name}.destinations`,
        problem: `service ${unknown.service} is not declared`,
      };
}

/**
 * A key must identify one customer; otherwise one customer would be charged for
 * the calls of another.
 */
function sharedKeyProblem(
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
          problem: `a key is also assigned to customer ${other}`,
        };
  });
}
