// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin drain: takes an upstream out of service, or puts it back. */

import {v7} from 'uuid';
import type {UpstreamSpec, UpstreamState} from '@lockpin/types';
import type {CommandContext} from '../commandContext.js';
import type {ExitCode} from '../exitCodes.js';
import {waitUntilInForce} from '../waitUntilInForce.js';

/** Options of the command. */
export interface DrainOptions {
  readonly upstream: string;
  /** Put it back in service instead. */
  readonly undo: boolean;
}

/** Changes the state of an upstream and waits until the change is in force. */
export async function drain(
  context: CommandContext,
  {upstream, undo}: DrainOptions,
): Promise<ExitCode> {
  const current = await context.api.resource('Upstream', upstream);
  if (!current.ok) {
    return context.fail(current.failure);
  }
  const state: UpstreamState = undo ? 'in-service' : 'draining';
  const spec = {...(current.value.spec as UpstreamSpec), state};
  const changed = await context.api.change(v7(), [
    {
      operation: 'put',
      kind: 'Upstream',
      name: upstream,
      basedOn: current.value.version,
      spec,
    },
  ]);
  if (!changed.ok) {
    return context.fail(changed.failure);
  }
  const {version, changeId} = changed.value;
  await waitUntilInForce(context.api, version);
  return context.show(changed.value, [
    {upstream, state, version, change: changeId},
  ]);
}
