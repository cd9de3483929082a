// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Which requests no upstream is to run. A request that has ended three upstreams, and
 * more of them than it left alive, is kept out everywhere: its caller that sends it again
 * and again would end all upstreams of a service, time after time.
 */

import {REPORT_LIFE_MILLISECONDS, reportKey} from './runReport.js';
import type {RunReport} from './runReport.js';

/**
 * Ends of upstreams after which a request is kept out. One or two have other causes:
 * a call that shares an upstream with the one that ends it, and is then sent to a
 * second one, has been there twice without any part in it.
 */
export const CRASHES_TO_QUARANTINE = 3;

/**
 * Time since the last end for which a request is kept out. It runs once more then:
 * at most three times a day if it still ends each upstream that runs it.
 */
export const QUARANTINE_MILLISECONDS = 8 * 60 * 60 * 1000;

/** Requests watched at most; the ones reported last stay. */
const MOST_SUSPECTS = 1000;

/** Reports kept of one request, the newest; they bound the memory of all. */
const MOST_REPORTS_OF_SUSPECT = 16;

/** What is known of one request that was running when an upstream ended. */
export interface SuspectStanding {
  readonly digest: string;
  readonly crashes: number;
  readonly survived: number;
  /** It is kept out until then, in milliseconds since 1970; 0 when it is not. */
  readonly until: number;
}

interface Suspect {
  readonly reports: Map<string, RunReport>;
  standing: SuspectStanding;
}

/** Gathers what all boxes report; the same reports give the same verdicts. */
export class Quarantine {
  private readonly suspects = new Map<string, Suspect>();

  /** Requests that are watched. */
  get size(): number {
    return this.suspects.size;
  }

  /** Whether it matters now that the request has also ended well somewhere. */
  wantsSurvivals(digest: string): boolean {
    return isInQuestion(this.suspects.get(digest)?.standing);
  }

  /** How much longer no upstream is to run a request, in milliseconds; 0 if one may. */
  remaining(now: number, digest: string): number {
    const until = this.suspects.get(digest)?.standing.until ?? 0;
    return Math.max(0, until - now);
  }

  /** Takes in what a box reports; returns the suspects that this is news of. */
  learn(
    now: number,
    box: string,
    reports: readonly RunReport[],
  ): readonly SuspectStanding[] {
    const changed = new Set<string>();
    for (const report of reports) {
      if (this.take(now, box, report)) {
        changed.add(report.digest);
      }
    }
    return [...changed].flatMap((digest) => this.judge(digest) ?? []);
  }

  private take(now: number, box: string, report: RunReport): boolean {
    const {digest} = report;
    if (now - report.at > REPORT_LIFE_MILLISECONDS) {
      return false;
    }
    const suspect = this.suspects.get(digest) ?? this.add(digest);
    const key = reportKey(box, report);
    if (suspect.reports.has(key)) {
      return false;
    }
    // A clock that is ahead must not keep a request out for longer.
    const at = Math.min(report.at, now);
    suspect.reports.set(key, {...report, at});
    dropOldest(suspect.reports);
    return true;
  }

  private add(digest: string): Suspect {
    const standing = {digest, crashes: 0, survived: 0, until: 0};
    const suspect: Suspect = {reports: new Map(), standing};
    this.suspects.set(digest, suspect);
    dropFirstBeyond(this.suspects, MOST_SUSPECTS);
    return suspect;
  }

  private judge(digest: string): SuspectStanding | undefined {
    const suspect = this.suspects.get(digest);
    if (suspect === undefined) {
      return undefined;
    }
    suspect.standing = standingOf(digest, [...suspect.reports.values()]);
    return suspect.standing;
  }
}

/** One end says little yet, and most suspects of one end are never heard of again. */
export function isInQuestion(standing: SuspectStanding | undefined): boolean {
  return (standing?.crashes ?? 0) >= CRASHES_TO_QUARANTINE - 1;
}

function standingOf(
  digest: string,
  reports: readonly RunReport[],
): SuspectStanding {
  const newest = Math.max(...reports.map(({at}) => at));
  const counted = reports.filter(
    ({at}) => newest - at <= REPORT_LIFE_MILLISECONDS,
  );
  const crashed = counted.filter(({hasCrashed}) => hasCrashed);
  const crashes = crashed.length;
  const survived = counted.length - crashes;
  // One that many callers send is running whenever an upstream ends, and mostly well.
  const isKeptOut = crashes >= CRASHES_TO_QUARANTINE && crashes > survived;
  const lastCrashAt = Math.max(0, ...crashed.map(({at}) => at));
  const until = isKeptOut ? lastCrashAt + QUARANTINE_MILLISECONDS : 0;
  return {digest, crashes, survived, until};
}

/** The same reports stay, in whatever order they were heard. */
function dropOldest(reports: Map<string, RunReport>): void {
  if (reports.size <= MOST_REPORTS_OF_SUSPECT) {
    return;
  }
  const [oldest] = [...reports].sort(
    ([key, {at}], [other, {at: otherAt}]) =>
      at - otherAt || (key < other ? -1 : 1),
  );
  reports.delete(oldest?.[0] ?? '');
}

/** Maps keep the order in which their keys came. */
function dropFirstBeyond<K, V>(map: Map<K, V>, most: number): void {
  if (map.size > most) {
    const [first] = map.keys();
    map.delete(first as K);
  }
}
