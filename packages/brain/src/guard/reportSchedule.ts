// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** When the permit holders hear of the upstreams of a box. */

import type {Fence, GuardReport} from '@lockpin/floor';
import type {OnceHome} from '@lockpin/once';
import type {GuardedServices, ServiceState} from './guardedServices.js';
import type {GuardAction} from './guardMessages.js';
import type {UpstreamGuard} from './upstreamGuard.js';

/** Milliseconds between reports on an upstream that is well. */
export const REPORT_INTERVAL_MILLISECONDS = 2000;

/** Milliseconds between reports on an upstream that asks for its ejection. */
const URGENT_REPORT_MILLISECONDS = 100;

/** Reports what is due, in one message for each service. */
export class ReportSchedule {
  private readonly nextAt = new Map<string, number>();

  constructor(
    private readonly home: OnceHome,
    private readonly services: GuardedServices,
  ) {}

  /** Reports that are due, or carry news. */
  due(now: number): readonly GuardAction[] {
    return [...this.services.all()].flatMap((service) => {
      const upstreams = this.services
        .guardsOf(service)
        .filter((upstream) => this.isDue(now, upstream));
      return this.message(now, service, upstreams);
    });
  }

  /** A report on one upstream, at once. */
  urgent(now: number, upstream: UpstreamGuard): readonly GuardAction[] {
    const service = this.services.serviceOf(upstream);
    return service === undefined ? [] : this.message(now, service, [upstream]);
  }

  private isDue(now: number, upstream: UpstreamGuard): boolean {
    return (
      now >= (this.nextAt.get(upstream.name) ?? 0) || upstream.standing.hasNews
    );
  }

  private message(
    now: number,
    {guarded, fence}: ServiceState,
    upstreams: readonly UpstreamGuard[],
  ): readonly GuardAction[] {
    const reports = upstreams.map((one) => this.report(now, one, fence));
    return reports.length === 0
      ? []
      : [{kind: 'report', service: guarded.name, reports}];
  }

  private report(
    now: number,
    upstream: UpstreamGuard,
    fence: Fence,
  ): GuardReport {
    const interval = upstream.standing.condemned
      ? URGENT_REPORT_MILLISECONDS
      : REPORT_INTERVAL_MILLISECONDS;
    this.nextAt.set(upstream.name, now + interval);
    return upstream.report(now, this.home, fence);
  }
}
