// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Authentication and authorization of operators. */

import type {IncomingMessage} from 'node:http';
import type {ConfigurationState} from '@lockpin/configuration';
import type {AnyResource, ResourceKind, Write} from '@lockpin/types';
import {equalInConstantTime, saltedHash} from '@lockpin/utils';

/** An authenticated operator. */
export interface Operator {
  readonly name: string;
  /** A customer's name, or * for the whole fleet. */
  readonly scope: string;
}

/** Name of the token whose hash is configured in the settings of the node. */
export const BOOTSTRAP_TOKEN = 'bootstrap';

const FLEET = '*';

/** Kinds that only fleet-wide operators may read. */
const FLEET_KINDS: ReadonlySet<ResourceKind> = new Set(['Token']);
/** Kinds that only fleet-wide operators may write. */
const FLEET_WRITTEN_KINDS: ReadonlySet<ResourceKind> = new Set([
  'Token',
  'Customer',
]);

/**
 * Identifies the operator; returns undefined if the token is missing or wrong.
 */
export function authenticate(
  state: ConfigurationState,
  bootstrapTokenHash: string,
  request: IncomingMessage,
): Operator | undefined {
  return findOperator(
    request,
    (name) =>
      bootstrapToken(bootstrapTokenHash, name) ??
      state.get('Token', name)?.spec,
  );
}

/** Whether the request carries the bootstrap token. */
export function hasBootstrapToken(
  bootstrapTokenHash: string,
  request: IncomingMessage,
): boolean {
  const known = (name: string): StoredToken | undefined =>
    bootstrapToken(bootstrapTokenHash, name);
  return findOperator(request, known) !== undefined;
}

/** The stored form of a token, against which secrets are checked. */
interface StoredToken {
  readonly salt: string;
  readonly hash: string;
  readonly scope: string;
}

function findOperator(
  request: IncomingMessage,
  storedToken: (name: string) => StoredToken | undefined,
): Operator | undefined {
  const header = request.headers.authorization ?? '';
  const match = /^Bearer ([a-z0-9-]+)\.(\S+)$/.exec(header);
  if (match === null) {
    return undefined;
  }
  const [, name = '', secret = ''] = match;
  const known = storedToken(name);
  const isValid = equalInConstantTime(
    saltedHash(known?.salt ?? '', secret),
    known?.hash ?? '',
  );
  return isValid && known !== undefined
    ? {name, scope: known.scope}
    : undefined;
}

function bootstrapToken(
  bootstrapTokenHash: string,
  name: string,
): StoredToken | undefined {
  if (name !== BOOTSTRAP_TOKEN || bootstrapTokenHash === '') {
    return undefined;
  }
  const [salt = '', hash = ''] = bootstrapTokenHash.split(':');
  return {salt, hash, scope: FLEET};
}

/** Whether an operator's scope is the whole fleet. */
export function isFleetWide(operator: Operator): boolean {
  return operator.scope === FLEET;
}

/** Whether an operator may read a resource. */
export function mayRead(
  operator: Operator,
  kind: ResourceKind,
  name: string,
): boolean {
  return (
    isFleetWide(operator) ||
    (!FLEET_KINDS.has(kind) && customerOf(name) === operator.scope)
  );
}

/** Whether an operator may perform a write. */
export function mayWrite(operator: Operator, write: Write): boolean {
  return (
    isFleetWide(operator) ||
    (!FLEET_WRITTEN_KINDS.has(write.kind) &&
      customerOf(write.name) === operator.scope)
  );
}

/** Returns a resource as shown to operators: tokens without salt and hash. */
export function withoutSecrets(resource: AnyResource): unknown {
  return resource.kind === 'Token'
    ? {...resource, spec: {scope: resource.spec.scope}}
    : resource;
}

function customerOf(name: string): string {
  return name.split('/')[0] ?? '';
}
