// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin get: lists resources, or shows one. */

import {isResourceKind, RESOURCE_KINDS} from '@lockpin/configuration';
import type {AnyResource} from '@lockpin/types';
import type {CommandContext} from '../commandContext.js';
import type {ExitCode} from '../exitCodes.js';
import type {Row} from '../output.js';

/** Options of the command. */
export interface GetOptions {
  readonly kind: string;
  readonly name: string | undefined;
}

/** Shows the resources of a kind, or the outcome of a change. */
export async function get(
  context: CommandContext,
  {kind: kindArgument, name}: GetOptions,
): Promise<ExitCode> {
  if (kindArgument === 'change') {
    const found = await context.api.get<Row>(`/changes/${name ?? ''}`);
    return found.ok
      ? context.show(found.value, [found.value])
      : context.fail(found.failure);
  }
  const kind = parseResourceKind(kindArgument);
  if (kind === undefined) {
    const problem = `must be one of ${RESOURCE_KINDS.join(', ')} or change`;
    const problems = [{field: 'kind', problem}];
    return context.fail({kind: 'invalid', problems});
  }
  const list = await context.api.list(kind, name ?? '');
  if (!list.ok) {
    return context.fail(list.failure);
  }
  return context.show(list.value, list.value.items.map(row));
}

/** Resolves a kind from any of the forms service, services and Service. */
export function parseResourceKind(kindArgument: string): string | undefined {
  const singular = kindArgument.replace(/s$/, '');
  const capitalized = singular.charAt(0).toUpperCase() + singular.slice(1);
  return isResourceKind(capitalized) ? capitalized : undefined;
}

function row({kind, name, version, spec}: AnyResource): Row {
  const fields = Object.entries(spec)
    .filter(([, value]) => value !== '')
    .map(([field, value]) => `${field}=${String(value)}`);
  return {kind, name, version, spec: fields.join(' ')};
}
