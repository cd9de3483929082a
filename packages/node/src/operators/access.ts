// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Who an operator is, and what they may see and change. */

import type {IncomingMessage} from 'node:http';
import type {ConfigurationState} from '@lockpin/configuration';
import type {AnyResource, ResourceKind, Write} from '@lockpin/types';
import {equalInConstantTime, saltedHash} from '@lockpin/utils';

/** An operator who has shown a token. */
export interface Operator {
  readonly name: string;
  /** A customer's name, or * for the whole fleet. */
  readonly scope: string;
}

/** Name of the token whose hash is a setting of the node. */
export const BOOTSTRAP_TOKEN = 'bootstrap';

const FLEET = '*';

/** Kinds that only the whole fleet's operators may see or change. */
const FLEET_KINDS: ReadonlySet<ResourceKind> = new Set(['Token']);
const FLEET_WRITTEN_KINDS: ReadonlySet<ResourceKind> = new Set([
  'Token',
  'Customer',
]);

/** Finds out who asks; undefined when the token is missing or wrong. */
export function authenticate(
  state: ConfigurationState,
  bootstrapTokenHash: string,
  request: IncomingMessage,
): Operator | undefined {
  return operatorWith(
    request,
    (name) =>
      bootstrapToken(bootstrapTokenHash, name) ??
      state.get('Token', name)?.spec,
  );
}

/** Whether who asks has the token whose hash is a setting of the node. */
export function hasBootstrapToken(
  bootstrapTokenHash: string,
  request: IncomingMessage,
): boolean {
  const known = (name: string): KnownToken | undefined =>
    bootstrapToken(bootstrapTokenHash, name);
  return operatorWith(request, known) !== undefined;
}

/** What a token is checked by. */
interface KnownToken {
  readonly salt: string;
  readonly hash: string;
  readonly scope: string;
}

function operatorWith(
  request: IncomingMessage,
  knownToken: (name: string) => KnownToken | undefined,
): Operator | undefined {
  const header = request.headers.authorization ?? '';
  const match = /^Bearer ([a-z0-9-]+)\.(\S+)$/.exec(header);
  if (match === null) {
    return undefined;
  }
  const [, name = '', secret = ''] = match;
  const known = knownToken(name);
  const isRight = equalInConstantTime(
    saltedHash(known?.salt ?? '', secret),
    known?.hash ?? '',
  );
  return isRight && known !== undefined
    ? {name, scope: known.scope}
    : undefined;
}

function bootstrapToken(
  bootstrapTokenHash: string,
  name: string,
): KnownToken | undefined {
  if (name !== BOOTSTRAP_TOKEN || bootstrapTokenHash === '') {
    return undefined;
  }
  const [salt = '', hash = ''] = bootstrapTokenHash.split(':');
  return {salt, hash, scope: FLEET};
}

/** Whether an operator looks after the whole fleet. */
export function isFleetWide(operator: Operator): boolean {
  return operator.scope === FLEET;
}

/** Whether an operator may see a resource. */
export function maySee(
  operator: Operator,
  kind: ResourceKind,
  name: string,
): boolean {
  return (
    isFleetWide(operator) ||
    (!FLEET_KINDS.has(kind) && customerOf(name) === operator.scope)
  );
}

/** Whether an operator may make a write. */
export function mayWrite(operator: Operator, write: Write): boolean {
  return (
    isFleetWide(operator) ||
    (!FLEET_WRITTEN_KINDS.has(write.kind) &&
      customerOf(write.name) === operator.scope)
  );
}

/** A resource as operators see it: a token without what it is checked by. */
export function visible(resource: AnyResource): unknown {
  return resource.kind === 'Token'
    ? {...resource, spec: {scope: resource.spec.scope}}
    : resource;
}

function customerOf(name: string): string {
  return name.split('/')[0] ?? '';
}
