// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin validate: validates manifests without contacting a node. */

import type {CommandContext} from '../commandContext.js';
import type {ExitCode} from '../exitCodes.js';
import {readManifests} from '../manifests.js';

/** Options of the command. */
export interface ValidateOptions {
  readonly file: readonly string[];
}

/** Validates the names, fields and limits of every manifest. */
export async function validate(
  context: CommandContext,
  {file}: ValidateOptions,
): Promise<ExitCode> {
  const manifests = await readManifests(file);
  if (!manifests.ok) {
    return context.fail({kind: 'invalid', problems: manifests.failure});
  }
  const rows = manifests.value.map(({kind, name}) => ({kind, name}));
  return context.show(rows, rows);
}
