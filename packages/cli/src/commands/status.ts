// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin status: shows every node and upstream, with reasons for states. */

import type {CommandContext} from '../commandContext.js';
import type {ExitCode} from '../exitCodes.js';
import {fetchNodeStatuses} from '../nodeStatuses.js';
import type {NodeStatus, UpstreamStatus} from '../nodeStatuses.js';
import type {Row} from '../output.js';

/** Shows one row for each upstream, and one for a node without any. */
export async function status(context: CommandContext): Promise<ExitCode> {
  const statuses = await fetchNodeStatuses(context.api);
  if (!statuses.ok) {
    return context.fail(statuses.failure);
  }
  const ordered = [...statuses.value].sort((a, b) => (a.box < b.box ? -1 : 1));
  return context.show(ordered, ordered.flatMap(rows));
}

function rows(node: NodeStatus): readonly Row[] {
  const {box, dataCentre, version, digest, logEra, isFoldingAnew} = node;
  const log = isFoldingAnew ? `${logEra}, restored` : String(logEra);
  const common = {box, dataCentre, version, digest, log};
  if (node.upstreams.length === 0) {
    return [{...common, upstream: '-', state: '-', running: '-', why: ''}];
  }
  return node.upstreams.map((upstream) => ({
    ...common,
    upstream: upstream.upstream,
    state: upstream.state,
    running: `${upstream.occupied}/${upstream.limit}`,
    why: reasons(upstream).join('; '),
  }));
}

const STATE_REASONS: Readonly<Record<string, string>> = {
  ejected: 'fails or is slow compared with its peers',
  probation: 'a few real calls are finding out whether it is well again',
  draining: 'an operator drains it',
};

const DENIAL_REASONS: Readonly<Record<string, string>> = {
  floor: 'sick, but the floor needs it: the least sick stays',
  'shared-cause': 'sick together with its peers: load or a shared cause',
  settling: 'sick; waiting whether its peers worsen too',
};

function reasons({
  state,
  denial,
  requestsPerSecond,
  isLeaving = false,
}: UpstreamStatus): readonly string[] {
  const reason = isLeaving
    ? 'it states that it is leaving'
    : stateReason(state, denial);
  const limit =
    requestsPerSecond === undefined
      ? ''
      : `it states that it takes ${requestsPerSecond} requests a second`;
  return [reason, limit].filter((text) => text !== '');
}

function stateReason(state: string, denial: string): string {
  return state === 'condemned'
    ? (DENIAL_REASONS[denial] ?? 'sick; no permit to eject it yet')
    : (STATE_REASONS[state] ?? '');
}
