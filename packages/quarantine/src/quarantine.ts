// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Quarantine of requests that crash upstreams. A request that has crashed three
 * upstreams, and more often than it was survived, is refused everywhere:
 * otherwise a caller that keeps sending it would repeatedly crash all upstreams
 * of a service.
 */

import type {QuarantineLift} from './quarantineLift.js';
import {REPORT_LIFETIME_MILLISECONDS, reportKey} from './runReport.js';
import type {RunReport} from './runReport.js';

/**
 * Crashes after which a request is quarantined. One or two may be coincidence:
 * a harmless call that runs next to the one that crashes the upstream, and is
 * then retried on a second upstream, may be present at two crashes.
 */
export const CRASHES_TO_QUARANTINE = 3;

/**
 * Duration of the quarantine since the last crash. The request may then run
 * again: at most three times a day if it still crashes each upstream.
 */
export const QUARANTINE_MILLISECONDS = 8 * 60 * 60 * 1000;

/** Maximum number of suspects; the most recently added ones are kept. */
const MAXIMUM_SUSPECTS = 1000;

/** Maximum number of reports kept per request, which bounds the memory used. */
const MAXIMUM_REPORTS_PER_SUSPECT = 16;

/** Status of a request that was running when an upstream crashed. */
export interface SuspectStanding {
  readonly digest: string;
  readonly crashes: number;
  readonly survived: number;
  /** End of the quarantine, in milliseconds since 1970; 0 if there is none. */
  readonly until: number;
  /** Time of the last lift, in milliseconds since 1970; 0 if never lifted. */
  readonly liftedAt: number;
}

/** A quarantined request, as shown to operators. */
export interface QuarantinedRequest {
  readonly digest: string;
  /** The services whose upstreams it has crashed. */
  readonly services: readonly string[];
  readonly crashes: number;
  readonly survived: number;
  /** The boxes on which it has crashed upstreams. */
  readonly boxes: readonly string[];
  /** Time of the crash that began it, in milliseconds since 1970. */
  readonly since: number;
  /** End of the quarantine, in milliseconds since 1970. */
  readonly until: number;
}

/** Whether a usable upstream of a service runs this version of its program. */
export type RunsProgram = (
  service: string,
  program: string | undefined,
) => boolean;

/** A report with the box that sent it. */
interface ReceivedReport extends RunReport {
  readonly box: string;
  /** Empty if unknown. */
  readonly service: string;
}

interface Suspect {
  readonly reports: Map<string, ReceivedReport>;
  standing: SuspectStanding;
  /** The crash reports that the standing takes into account, oldest first. */
  crashes: readonly ReceivedReport[];
}

/** Evaluates the reports of all boxes; equal reports give equal results. */
export class Quarantine {
  private readonly suspects = new Map<string, Suspect>();
  /** Time of the last lift by request; it may arrive before the reports. */
  private readonly lifts = new Map<string, number>();

  constructor(private readonly runsProgram: RunsProgram = () => true) {}

  /** Number of suspects. */
  get size(): number {
    return this.suspects.size;
  }

  /** Whether reports of survived runs of the request are needed. */
  needsSurvivalReports(digest: string): boolean {
    return isSuspected(this.suspects.get(digest)?.standing);
  }

  /** Remaining quarantine of a request in milliseconds; 0 if it may run. */
  remaining(now: number, digest: string): number {
    const suspect = this.suspects.get(digest);
    const remaining = Math.max(0, (suspect?.standing.until ?? 0) - now);
    return suspect !== undefined &&
      remaining > 0 &&
      this.isCrashedVersionRunning(suspect)
      ? remaining
      : 0;
  }

  /** All requests that are quarantined now. */
  quarantinedRequests(now: number): readonly QuarantinedRequest[] {
    return [...this.suspects.keys()]
      .filter((digest) => this.remaining(now, digest) > 0)
      .flatMap((digest) => {
        const suspect = this.suspects.get(digest);
        return suspect === undefined ? [] : [quarantinedRequest(suspect)];
      });
  }

  /** Creates the lift of a quarantine; undefined if there is no quarantine. */
  lift(now: number, digest: string): QuarantineLift | undefined {
    const suspect = this.suspects.get(digest);
    if (suspect === undefined || this.remaining(now, digest) === 0) {
      return undefined;
    }
    const newest = Math.max(...[...suspect.reports.values()].map(({at}) => at));
    return {digest, at: Math.max(Math.round(now), newest)};
  }

  /** Adds the reports of a box; returns the suspects that have new reports. */
  addReports(
    now: number,
    box: string,
    reports: readonly RunReport[],
    service = '',
  ): readonly SuspectStanding[] {
    const changed = new Set<string>();
    for (const report of reports) {
      if (this.addReport(now, {...report, box, service})) {
        changed.add(report.digest);
      }
    }
    return [...changed].flatMap((digest) => this.assess(digest) ?? []);
  }

  /** Adds lifts from a box; returns the suspects that they change. */
  addLifts(
    now: number,
    lifts: readonly QuarantineLift[],
  ): readonly SuspectStanding[] {
    return lifts.flatMap(({digest, at}) => {
      // A clock that is ahead must not extend the effect of a lift.
      const liftedAt = Math.min(at, now);
      if (liftedAt <= (this.lifts.get(digest) ?? 0)) {
        return [];
      }
      this.lifts.delete(digest);
      this.lifts.set(digest, liftedAt);
      dropFirstEntryBeyond(this.lifts, MAXIMUM_SUSPECTS);
      return this.assess(digest) ?? [];
    });
  }

  /**
   * Whether a usable upstream runs a program version that the request crashed.
   * A new version may handle the request, but it is tried only once the old one
   * is gone everywhere, since the call might otherwise reach an old upstream.
   */
  private isCrashedVersionRunning({crashes}: Suspect): boolean {
    return crashes.some(({service, program}) =>
      this.runsProgram(service, program),
    );
  }

  private addReport(now: number, report: ReceivedReport): boolean {
    const {digest, box} = report;
    if (now - report.at > REPORT_LIFETIME_MILLISECONDS) {
      return false;
    }
    const suspect = this.suspects.get(digest) ?? this.addSuspect(digest);
    const key = reportKey(box, report);
    if (suspect.reports.has(key)) {
      return false;
    }
    // A clock that is ahead must not prolong a quarantine.
    const at = Math.min(report.at, now);
    suspect.reports.set(key, {...report, at});
    dropOldestReport(suspect.reports);
    return true;
  }

  private addSuspect(digest: string): Suspect {
    const standing = {digest, crashes: 0, survived: 0, until: 0, liftedAt: 0};
    const suspect: Suspect = {reports: new Map(), standing, crashes: []};
    this.suspects.set(digest, suspect);
    dropFirstEntryBeyond(this.suspects, MAXIMUM_SUSPECTS);
    return suspect;
  }

  private assess(digest: string): SuspectStanding | undefined {
    const suspect = this.suspects.get(digest);
    if (suspect === undefined) {
      return undefined;
    }
    const liftedAt = this.lifts.get(digest) ?? 0;
    const counted = countedReports([...suspect.reports.values()], liftedAt);
    suspect.standing = standingFrom(digest, counted, liftedAt);
    suspect.crashes = counted
      .filter(({hasCrashed}) => hasCrashed)
      .sort((a, b) => a.at - b.at);
    return suspect.standing;
  }
}

/**
 * Whether a request is at most one crash short of a quarantine. A single crash
 * is weak evidence, and most suspects with one crash are never reported again.
 */
export function isSuspected(standing: SuspectStanding | undefined): boolean {
  return (standing?.crashes ?? 0) >= CRASHES_TO_QUARANTINE - 1;
}

/** Reports that are not lifted and at most a day older than the newest. */
function countedReports(
  reports: readonly ReceivedReport[],
  liftedAt: number,
): readonly ReceivedReport[] {
  const newest = Math.max(...reports.map(({at}) => at));
  return reports.filter(
    ({at}) => at > liftedAt && newest - at <= REPORT_LIFETIME_MILLISECONDS,
  );
}

function standingFrom(
  digest: string,
  counted: readonly RunReport[],
  liftedAt: number,
): SuspectStanding {
  const crashed = counted.filter(({hasCrashed}) => hasCrashed);
  const crashes = crashed.length;
  const survived = counted.length - crashes;
  // A popular request often happens to run during a crash; most runs survive.
  const isQuarantined = crashes >= CRASHES_TO_QUARANTINE && crashes > survived;
  const lastCrashAt = Math.max(0, ...crashed.map(({at}) => at));
  const until = isQuarantined ? lastCrashAt + QUARANTINE_MILLISECONDS : 0;
  return {digest, crashes, survived, until, liftedAt};
}

function quarantinedRequest({standing, crashes}: Suspect): QuarantinedRequest {
  const {digest, survived, until} = standing;
  return {
    digest,
    services: [...new Set(crashes.map(({service}) => service))].sort(),
    crashes: crashes.length,
    survived,
    boxes: [...new Set(crashes.map(({box}) => box))].sort(),
    since: crashes[CRASHES_TO_QUARANTINE - 1]?.at ?? 0,
    until,
  };
}

/** Drops the oldest report; which one does not depend on the arrival order. */
function dropOldestReport(reports: Map<string, ReceivedReport>): void {
  if (reports.size <= MAXIMUM_REPORTS_PER_SUSPECT) {
    return;
  }
  const [oldest] = [...reports].sort(
    ([key, {at}], [other, {at: otherAt}]) =>
      at - otherAt || (key < other ? -1 : 1),
  );
  reports.delete(oldest?.[0] ?? '');
}

/** Evicts the first entry beyond the limit; maps iterate in insertion order. */
function dropFirstEntryBeyond<K, V>(map: Map<K, V>, maximum: number): void {
  if (map.size > maximum) {
    const [first] = map.keys();
    map.delete(first as K);
  }
}
