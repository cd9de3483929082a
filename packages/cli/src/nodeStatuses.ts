// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Queries all nodes that are known to the addressed node. */

import type {Result} from '@lockpin/types';
import {success} from '@lockpin/utils';
import {ApiClient} from './apiClient.js';
import type {ClientFailure} from './apiClient.js';

/** The status of a member as reported by a node. */
export interface MemberStatus {
  readonly box: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly operatorAddress: string;
  readonly versionInForce: number;
}

/** The standing of an upstream at its guard. */
export interface UpstreamStatus {
  readonly upstream: string;
  readonly state: string;
  readonly occupied: number;
  readonly limit: number;
  readonly denial: string;
  /** Limit that the upstream states, if any. */
  readonly requestsPerSecond?: number;
  /** Whether the upstream states that it is leaving. */
  readonly isLeaving?: boolean;
}

/** The status of a node as reported by itself. */
export interface NodeStatus {
  readonly box: string;
  readonly dataCentre: string;
  readonly version: number;
  readonly digest: string;
  /** The log era of the state in force; rises with each restore of the log. */
  readonly logEra: number;
  /** Whether a restored log is being replayed; submitted changes wait. */
  readonly isFoldingAnew: boolean;
  readonly isLeaving: boolean;
  readonly callsAtEntry: number;
  readonly callsAtGuard: number;
  readonly upstreams: readonly UpstreamStatus[];
  readonly members: readonly MemberStatus[];
}

/** Creates clients for all members that are not dead and have an address. */
export async function createNodeClients(
  api: ApiClient,
): Promise<Result<readonly ApiClient[], ClientFailure>> {
  const first = await api.get<NodeStatus>('/status');
  if (!first.ok) {
    return first;
  }
  const addresses = first.value.members
    .filter(({state}) => state !== 'dead')
    .map(({operatorAddress}) => operatorAddress)
    .filter((address) => address !== '');
  const {token} = api.access;
  const clients = addresses.map((address) => new ApiClient({address, token}));
  return success(clients.length > 0 ? clients : [api]);
}

/** Fetches the statuses of all nodes that answer. */
export async function fetchNodeStatuses(
  api: ApiClient,
): Promise<Result<readonly NodeStatus[], ClientFailure>> {
  const clients = await createNodeClients(api);
  if (!clients.ok) {
    return clients;
  }
  const answers = await Promise.all(
    clients.value.map((client) => client.get<NodeStatus>('/status')),
  );
  return success(
    answers.flatMap((answer) => (answer.ok ? [answer.value] : [])),
  );
}
