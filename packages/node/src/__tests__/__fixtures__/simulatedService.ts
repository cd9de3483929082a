// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The service of a call simulation. */

import type {ServiceView} from '@lockpin/configuration';
import type {RetryAllowance} from '@lockpin/routing';
import type {RefusalReason, Repetition, Resource} from '@lockpin/types';

/** The name of the service and of its customer. */
export const SERVICE = 's';

/** A request that reached an upstream. */
export interface SimulatedArrival {
  readonly callId: string;
  /** Box at which the request began. */
  readonly box: number;
  readonly upstream: number;
  readonly sentAt: number;
  readonly at: number;
}

/** How a call ended for its caller. */
export interface SimulatedResult {
  readonly sentAt: number;
  readonly endedAt: number;
  readonly status: number;
  readonly reason: RefusalReason | undefined;
  readonly retryAfterMilliseconds: number;
  readonly offers: number;
}

/** Size and load of the service. */
export interface SimulationOptions {
  readonly seed: number;
  readonly boxes: number;
  readonly slots: number;
  /** Mean service time of a call, in milliseconds. */
  readonly workMilliseconds: number;
  /** Calls per second at all boxes together. */
  readonly callsPerSecond: number;
  readonly goalMilliseconds: number;
  readonly waitMilliseconds: number;
  /** Share of the calls that may be repeated. */
  readonly repeatableShare: number;
  /** Creates the retry budget of a guard; there are no retries if omitted. */
  readonly createRetryBudget?: () => RetryAllowance;
  /** Mechanisms that are off in addition to the hedges. */
  readonly switchedOff?: readonly string[];
  /** Number of boxes with callers; all if omitted. */
  readonly boxesWithCallers?: number;
}

/** The route of calls that may be repeated or not. */
export function createRoute(
  repetition: Repetition,
  {waitMilliseconds, goalMilliseconds}: SimulationOptions,
): Resource<'Route'> {
  return {
    kind: 'Route',
    name: repetition,
    version: 1,
    spec: {
      method: '*',
      pathPrefix: '/',
      repetition,
      waitMilliseconds,
      goalMilliseconds,
      priority: 1,
      retryShare: 0,
      onceKeyHeader: '',
    },
  };
}

/** The service with one upstream on each box. */
export function createServiceView({
  boxes,
  slots,
}: SimulationOptions): ServiceView {
  return {
    name: SERVICE,
    customer: SERVICE,
    routes: [],
    upstreams: Array.from({length: boxes}, (_, i) => ({
      kind: 'Upstream',
      name: `${SERVICE}/box-${i}`,
      version: 1,
      spec: {
        address: '',
        dataCentre: `d${i % 3}`,
        box: `box-${i}`,
        slots,
        connections: slots,
        state: 'in-service',
        incarnation: {id: `i-${i}`, startedAt: 0},
      },
    })),
    service: {
      kind: 'Service',
      name: SERVICE,
      version: 1,
      spec: {
        floorSlots: 0,
        targetSlots: 0,
        loadReportPath: '',
        sensitivity: 'fast',
        host: '',
        callerCredentialHash: '',
      },
    },
  };
}
