// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Runs of requests on the upstreams of this box, and the reports on them. */

import type {QuarantineLift} from './quarantineLift.js';
import {
  MAXIMUM_REPORTS,
  REPORT_LIFETIME_MILLISECONDS,
  areSameReports,
} from './runReport.js';
import type {RunReport} from './runReport.js';

/** Successful requests that are remembered: some minutes of calls. */
const MAXIMUM_SURVIVED_REQUESTS = 2048;

/**
 * Successful runs of one request that are remembered, and that are reported for
 * a suspect. Twenty boxes that report four each outweigh any number of crashes
 * that coincide with a request by chance.
 */
const MAXIMUM_SURVIVALS_PER_REQUEST = 4;

/** Remembers runs and decides which of them to report to the other boxes. */
export class OwnRuns {
  /** Recent successful runs by request, the latest request last. */
  private readonly survivalCounts = new Map<string, number>();
  private published: readonly RunReport[] = [];

  /** The reports to publish to the other boxes. */
  get reports(): readonly RunReport[] {
    return this.published;
  }

  /** Records a run that its upstream survived; true if a report was added. */
  survived(now: number, digest: string, isSuspected: boolean): boolean {
    if (digest === '') {
      return false;
    }
    this.countSurvival(digest);
    return isSuspected && this.addSurvival(now, digest);
  }

  /**
   * Records that the upstream crashed while it ran these requests; true if a
   * report was added.
   * @param program Version of the upstream's program; undefined if unknown.
   */
  crashed(now: number, digests: readonly string[], program?: string): boolean {
    const suspects = [...new Set(digests)].filter(
      (digest) => digest !== '' && !this.isExcused(digest),
    );
    this.addReports(
      now,
      suspects.map((digest) => ({
        digest,
        at: Math.round(now),
        hasCrashed: true,
        program,
      })),
    );
    return suspects.length > 0;
  }

  /** Reports a survival if the request has one here; true if one was added. */
  reportPastSurvival(now: number, digest: string): boolean {
    return this.survivalCounts.has(digest) && this.addSurvival(now, digest);
  }

  /** Drops the reports that a lift makes void; true if any was dropped. */
  lifted({digest, at}: QuarantineLift): boolean {
    const before = this.published.length;
    this.published = this.published.filter(
      (report) => report.digest !== digest || report.at > at,
    );
    return this.published.length < before;
  }

  /** Adopts reports of an earlier process of this box; true if any was new. */
  adopt(now: number, reports: readonly RunReport[]): boolean {
    const known = new Set(this.published.map(reportIdentity));
    const earlier = reports.filter(
      (report) => !known.has(reportIdentity(report)),
    );
    const before = this.published;
    this.published = retained(now, [...earlier, ...this.published]);
    return !areSameReports(before, this.published);
  }

  /** Each survived run excuses one crash, maybe caused by another request. */
  private isExcused(digest: string): boolean {
    const runs = this.survivalCounts.get(digest);
    if (runs === undefined) {
      return false;
    }
    if (runs > 1) {
      this.survivalCounts.set(digest, runs - 1);
    } else {
      this.survivalCounts.delete(digest);
    }
    return true;
  }

  private countSurvival(digest: string): void {
    const runs = this.survivalCounts.get(digest) ?? 0;
    this.survivalCounts.delete(digest);
    this.survivalCounts.set(
      digest,
      Math.min(runs + 1, MAXIMUM_SURVIVALS_PER_REQUEST),
    );
    if (this.survivalCounts.size > MAXIMUM_SURVIVED_REQUESTS) {
      const [oldest] = this.survivalCounts.keys();
      this.survivalCounts.delete(oldest as string);
    }
  }

  private addSurvival(now: number, digest: string): boolean {
    const survivalReports = this.published.filter(
      (report) => report.digest === digest && !report.hasCrashed,
    );
    if (survivalReports.length >= MAXIMUM_SURVIVALS_PER_REQUEST) {
      return false;
    }
    this.addReports(now, [{digest, at: Math.round(now), hasCrashed: false}]);
    return true;
  }

  private addReports(now: number, reports: readonly RunReport[]): void {
    this.published = retained(now, [...this.published, ...reports]);
  }
}

function retained(
  now: number,
  reports: readonly RunReport[],
): readonly RunReport[] {
  return reports
    .filter(({at}) => now - at <= REPORT_LIFETIME_MILLISECONDS)
    .slice(-MAXIMUM_REPORTS);
}

function reportIdentity({digest, at, hasCrashed}: RunReport): string {
  return `${digest} ${at} ${hasCrashed}`;
}
