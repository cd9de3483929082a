// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Schedules the reports on local upstreams to the permit holders. */

import type {Fence, GuardReport} from '@lockpin/floor';
import type {OnceHome} from '@lockpin/once';
import type {GuardedServices, ServiceState} from './guardedServices.js';
import type {GuardAction} from './guardMessages.js';
import type {UpstreamGuard} from './upstreamGuard.js';

/** Milliseconds between reports on an upstream that is not condemned. */
export const REPORT_INTERVAL_MILLISECONDS = 2000;

/** Milliseconds between reports on an upstream that requests a permit. */
const URGENT_REPORT_MILLISECONDS = 100;

/** Creates the reports that are due, in one message per service. */
export class ReportSchedule {
  private readonly nextReportAt = new Map<string, number>();

  constructor(
    private readonly home: OnceHome,
    private readonly services: GuardedServices,
  ) {}

  /** Reports that are due, or whose upstream changed its suspect state. */
  due(now: number): readonly GuardAction[] {
    return [...this.services.all()].flatMap((service) => {
      const upstreams = this.services
        .guardsOf(service)
        .filter((upstream) => this.isDue(now, upstream));
      return this.message(now, service, upstreams);
    });
  }

  /** An immediate report on one upstream. */
  urgent(now: number, upstream: UpstreamGuard): readonly GuardAction[] {
    const service = this.services.serviceOf(upstream);
    return service === undefined ? [] : this.message(now, service, [upstream]);
  }

  private isDue(now: number, upstream: UpstreamGuard): boolean {
    return (
      now >= (this.nextReportAt.get(upstream.name) ?? 0) ||
      upstream.standing.hasUnreportedChange
    );
  }

  private message(
    now: number,
    {guarded, fence}: ServiceState,
    upstreams: readonly UpstreamGuard[],
  ): readonly GuardAction[] {
    const reports = upstreams.map((upstream) =>
      this.report(now, upstream, fence),
    );
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
    this.nextReportAt.set(upstream.name, now + interval);
    return upstream.report(now, this.home, fence);
  }
}
