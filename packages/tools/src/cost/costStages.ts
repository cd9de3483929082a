// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The stages of a measurement, in the order in which they run. */

/** Calls of which the processor time is measured. */
export interface CostStage {
  readonly name: string;
  /** Least number of calls; each box makes as many as the others. */
  readonly calls: number;
  /** Status with which the calls are to end. */
  readonly status: number;
  /** Condition of the fleet; it stays for the later stages. */
  readonly condition: 'ordinary' | 'over-limit' | 'full';
  /** Calls under way at a time at each box. */
  readonly atOnce: number;
}

const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

/** Nodes are cold in the first stage and warm after the third. */
export const COST_STAGES: readonly CostStage[] = [
  served(50),
  served(300),
  served(1000),
  {
    name: '300 calls over a limit (429)',
    calls: 300,
    status: HTTP_TOO_MANY_REQUESTS,
    condition: 'over-limit',
    atOnce: 1,
  },
  {
    name: '300 calls to a full service (503)',
    calls: 300,
    status: HTTP_UNAVAILABLE,
    condition: 'full',
    atOnce: 4,
  },
];

function served(calls: number): CostStage {
  return {
    name: `${calls} calls`,
    calls,
    status: HTTP_OK,
    condition: 'ordinary',
    atOnce: 1,
  };
}
