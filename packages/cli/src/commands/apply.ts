// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin apply: creates or updates resources from manifests. */

import {v7} from 'uuid';
import type {CommandContext} from '../commandContext.js';
import {EXIT_CODES} from '../exitCodes.js';
import type {ExitCode} from '../exitCodes.js';
import {readManifests} from '../manifests.js';
import {writesFor} from '../writes.js';
import {waitUntilInForce} from '../waitUntilInForce.js';

/** Options of the command. */
export interface ApplyOptions {
  readonly file: readonly string[];
  /** Wait until the change is in force on every node. */
  readonly wait: boolean;
}

/** Applies all manifests atomically, as one change. */
export async function apply(
  context: CommandContext,
  options: ApplyOptions,
): Promise<ExitCode> {
  const manifests = await readManifests(options.file);
  if (!manifests.ok) {
    return context.fail({kind: 'invalid', problems: manifests.failure});
  }
  const writes = await writesFor(context.api, manifests.value);
  if (!writes.ok) {
    return context.fail(writes.failure);
  }
  if (writes.value.length === 0) {
    context.terminal.err(
      'all resources match the manifests; nothing was changed\n',
    );
    return EXIT_CODES.success;
  }
  const accepted = await context.api.change(v7(), writes.value);
  if (!accepted.ok) {
    return context.fail(accepted.failure);
  }
  const {version, changeId} = accepted.value;
  if (options.wait) {
    await waitUntilInForce(context.api, version);
  }
  return context.show({...accepted.value, writes: writes.value.length}, [
    {version, change: changeId, writes: writes.value.length},
  ]);
}
