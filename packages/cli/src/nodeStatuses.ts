// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Asks every node that the first one knows. */

import type {Result} from '@lockpin/types';
import {success} from '@lockpin/utils';
import {ApiClient} from './apiClient.js';
import type {ClientFailure} from './apiClient.js';

/** What a node says of a member. */
export interface MemberStatus {
  readonly box: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly operatorAddress: string;
  readonly versionInForce: number;
}

/** What a node says of itself. */
export interface NodeStatus {
  readonly box: string;
  readonly dataCentre: string;
  readonly version: number;
  readonly digest: string;
  /** How often the log was restored, as far as the state in force goes. */
  readonly logEra: number;
  /** The log was restored and is folded anew; changes that are offered wait. */
  readonly isFoldingAnew: boolean;
  readonly isLeaving: boolean;
  readonly callsAtEntry: number;
  readonly callsAtGuard: number;
  readonly upstreams: readonly {
    readonly upstream: string;
    readonly state: string;
    readonly occupied: number;
    readonly limit: number;
    readonly denial: string;
  }[];
  readonly members: readonly MemberStatus[];
}

/** Clients for every node that can be asked, the first one included. */
export async function everyNode(
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

/** The statuses of all nodes that answer. */
export async function everyStatus(
  api: ApiClient,
): Promise<Result<readonly NodeStatus[], ClientFailure>> {
  const clients = await everyNode(api);
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
