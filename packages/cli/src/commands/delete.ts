// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin delete: deletes a resource. */

import {v7} from 'uuid';
import type {ResourceKind} from '@lockpin/types';
import type {CommandContext} from '../commandContext.js';
import type {ExitCode} from '../exitCodes.js';
import {parseResourceKind} from './get.js';

/** Options of the command. */
export interface DeleteOptions {
  readonly kind: string;
  readonly name: string;
}

/** Deletes one resource, based on its current version. */
export async function deleteResource(
  context: CommandContext,
  options: DeleteOptions,
): Promise<ExitCode> {
  const kind = (parseResourceKind(options.kind) ??
    options.kind) as ResourceKind;
  const {name} = options;
  const current = await context.api.resource(kind, name);
  if (!current.ok) {
    return context.fail(current.failure);
  }
  const basedOn = current.value.version;
  const deleted = await context.api.change(v7(), [
    {operation: 'delete', kind, name, basedOn},
  ]);
  if (!deleted.ok) {
    return context.fail(deleted.failure);
  }
  const {version, changeId} = deleted.value;
  return context.show(deleted.value, [{version, change: changeId}]);
}
