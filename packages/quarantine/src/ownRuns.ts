// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a box has seen of the requests that ran on its own upstream. */

import type {QuarantineLift} from './quarantineLift.js';
import {
  MOST_REPORTS,
  REPORT_LIFE_MILLISECONDS,
  areSameReports,
} from './runReport.js';
import type {RunReport} from './runReport.js';

/** Requests of which it is remembered that they ended well: some minutes of calls. */
const MOST_SURVIVORS = 2048;

/**
 * Runs of one request that are remembered as ended well, and told of a suspect. Twenty
 * boxes that tell of four each outweigh any number of ends that chance would bring.
 */
const MOST_SURVIVALS = 4;

/** Remembers runs, and decides which of them the other boxes are told of. */
export class OwnRuns {
  /** How often each request ended well lately, the latest last. */
  private readonly survivors = new Map<string, number>();
  private told: readonly RunReport[] = [];

  /** What the other boxes are to know. */
  get reports(): readonly RunReport[] {
    return this.told;
  }

  /** A run has ended, and its upstream lives; true when there is more to tell. */
  survived(now: number, digest: string, isInQuestion: boolean): boolean {
    if (digest === '') {
      return false;
    }
    this.remember(digest);
    return isInQuestion && this.tellSurvival(now, digest);
  }

  /**
   * The upstream ended while it ran these; true when there is more to tell.
   * @param program Version of the upstream's program; undefined where it is not told.
   */
  crashed(now: number, digests: readonly string[], program?: string): boolean {
    const guilty = [...new Set(digests)].filter(
      (digest) => digest !== '' && !this.isExcused(digest),
    );
    this.tell(
      now,
      guilty.map((digest) => ({
        digest,
        at: Math.round(now),
        hasCrashed: true,
        program,
      })),
    );
    return guilty.length > 0;
  }

  /** A request has come into question; true when it has ended well here. */
  questioned(now: number, digest: string): boolean {
    return this.survivors.has(digest) && this.tellSurvival(now, digest);
  }

  /** What a request did up to then counts no more; true when there is less to tell. */
  lifted({digest, at}: QuarantineLift): boolean {
    const before = this.told.length;
    this.told = this.told.filter(
      (report) => report.digest !== digest || report.at > at,
    );
    return this.told.length < before;
  }

  /** An earlier process of this box told these; true when they were not known. */
  adopt(now: number, reports: readonly RunReport[]): boolean {
    const known = new Set(this.told.map(keyOf));
    const earlier = reports.filter((report) => !known.has(keyOf(report)));
    const before = this.told;
    this.told = kept(now, [...earlier, ...this.told]);
    return !areSameReports(before, this.told);
  }

  /** Each run that ended well excuses one end: it may be another request's doing. */
  private isExcused(digest: string): boolean {
    const runs = this.survivors.get(digest);
    if (runs === undefined) {
      return false;
    }
    if (runs > 1) {
      this.survivors.set(digest, runs - 1);
    } else {
      this.survivors.delete(digest);
    }
    return true;
  }

  private remember(digest: string): void {
    const runs = this.survivors.get(digest) ?? 0;
    this.survivors.delete(digest);
    this.survivors.set(digest, Math.min(runs + 1, MOST_SURVIVALS));
    if (this.survivors.size > MOST_SURVIVORS) {
      const [oldest] = this.survivors.keys();
      this.survivors.delete(oldest as string);
    }
  }

  private tellSurvival(now: number, digest: string): boolean {
    const toldOf = this.told.filter(
      (report) => report.digest === digest && !report.hasCrashed,
    );
    if (toldOf.length >= MOST_SURVIVALS) {
      return false;
    }
    this.tell(now, [{digest, at: Math.round(now), hasCrashed: false}]);
    return true;
  }

  private tell(now: number, reports: readonly RunReport[]): void {
    this.told = kept(now, [...this.told, ...reports]);
  }
}

function kept(
  now: number,
  reports: readonly RunReport[],
): readonly RunReport[] {
  return reports
    .filter(({at}) => now - at <= REPORT_LIFE_MILLISECONDS)
    .slice(-MOST_REPORTS);
}

function keyOf({digest, at, hasCrashed}: RunReport): string {
  return `${digest} ${at} ${hasCrashed}`;
}
