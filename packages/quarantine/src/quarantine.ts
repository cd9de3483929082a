// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Which requests no upstream is to run. A request that has ended three upstreams, and
 * more of them than it left alive, is kept out everywhere: its caller that sends it again
 * and again would end all upstreams of a service, time after time.
 */

import type {QuarantineLift} from './quarantineLift.js';
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
  /** Up to then runs count no more, in milliseconds since 1970; 0 for never lifted. */
  readonly liftedAt: number;
}

/** A request that is kept out, for operators. */
export interface QuarantinedRequest {
  readonly digest: string;
  /** The services whose upstreams have ended under it. */
  readonly services: readonly string[];
  readonly crashes: number;
  readonly survived: number;
  /** Where upstreams have ended under it. */
  readonly boxes: readonly string[];
  /** The end that made it one too many, in milliseconds since 1970. */
  readonly since: number;
  /** In milliseconds since 1970. */
  readonly until: number;
}

/** Whether a working upstream of a service runs this version of its program. */
export type RunsProgram = (
  service: string,
  program: string | undefined,
) => boolean;

/** A report with who tells it. */
interface HeardReport extends RunReport {
  readonly box: string;
  /** Empty where it was not known. */
  readonly service: string;
}

interface Suspect {
  readonly reports: Map<string, HeardReport>;
  standing: SuspectStanding;
  /** The reports that the standing counts as ends of upstreams, oldest first. */
  crashes: readonly HeardReport[];
}

/** Gathers what all boxes report; the same reports give the same verdicts. */
export class Quarantine {
  private readonly suspects = new Map<string, Suspect>();
  /** When each request was last lifted; told before or after what it lifts. */
  private readonly lifts = new Map<string, number>();

  constructor(private readonly runsProgram: RunsProgram = () => true) {}

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
    const suspect = this.suspects.get(digest);
    const remaining = Math.max(0, (suspect?.standing.until ?? 0) - now);
    return suspect !== undefined && remaining > 0 && this.isStillRun(suspect)
      ? remaining
      : 0;
  }

  /** All requests that no upstream is to run now. */
  all(now: number): readonly QuarantinedRequest[] {
    return [...this.suspects.keys()]
      .filter((digest) => this.remaining(now, digest) > 0)
      .flatMap((digest) => {
        const suspect = this.suspects.get(digest);
        return suspect === undefined ? [] : [quarantinedRequest(suspect)];
      });
  }

  /** An operator lifts a quarantine now; undefined where there is none. */
  lift(now: number, digest: string): QuarantineLift | undefined {
    const suspect = this.suspects.get(digest);
    if (suspect === undefined || this.remaining(now, digest) === 0) {
      return undefined;
    }
    const newest = Math.max(...[...suspect.reports.values()].map(({at}) => at));
    return {digest, at: Math.max(Math.round(now), newest)};
  }

  /** Takes in what a box reports; returns the suspects that this is news of. */
  learn(
    now: number,
    box: string,
    reports: readonly RunReport[],
    service = '',
  ): readonly SuspectStanding[] {
    const changed = new Set<string>();
    for (const report of reports) {
      if (this.take(now, {...report, box, service})) {
        changed.add(report.digest);
      }
    }
    return [...changed].flatMap((digest) => this.judge(digest) ?? []);
  }

  /** Takes in lifts that a box tells; returns the suspects that this is news of. */
  learnLifts(
    now: number,
    lifts: readonly QuarantineLift[],
  ): readonly SuspectStanding[] {
    return lifts.flatMap(({digest, at}) => {
      // A clock that is ahead must not let a request run for longer.
      const liftedAt = Math.min(at, now);
      if (liftedAt <= (this.lifts.get(digest) ?? 0)) {
        return [];
      }
      this.lifts.delete(digest);
      this.lifts.set(digest, liftedAt);
      dropFirstBeyond(this.lifts, MOST_SUSPECTS);
      return this.judge(digest) ?? [];
    });
  }

  /**
   * A new version of the program may bear the request. It is tried once no working
   * upstream runs a version that has ended under it: a run before might meet an old one.
   */
  private isStillRun({crashes}: Suspect): boolean {
    return crashes.some(({service, program}) =>
      this.runsProgram(service, program),
    );
  }

  private take(now: number, report: HeardReport): boolean {
    const {digest, box} = report;
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
    const standing = {digest, crashes: 0, survived: 0, until: 0, liftedAt: 0};
    const suspect: Suspect = {reports: new Map(), standing, crashes: []};
    this.suspects.set(digest, suspect);
    dropFirstBeyond(this.suspects, MOST_SUSPECTS);
    return suspect;
  }

  private judge(digest: string): SuspectStanding | undefined {
    const suspect = this.suspects.get(digest);
    if (suspect === undefined) {
      return undefined;
    }
    const liftedAt = this.lifts.get(digest) ?? 0;
    const counted = countedOf([...suspect.reports.values()], liftedAt);
    suspect.standing = standingOf(digest, counted, liftedAt);
    suspect.crashes = counted
      .filter(({hasCrashed}) => hasCrashed)
      .sort((a, b) => a.at - b.at);
    return suspect.standing;
  }
}

/** One end says little yet, and most suspects of one end are never heard of again. */
export function isInQuestion(standing: SuspectStanding | undefined): boolean {
  return (standing?.crashes ?? 0) >= CRASHES_TO_QUARANTINE - 1;
}

/** Reports that count: neither lifted nor a day older than the newest. */
function countedOf(
  reports: readonly HeardReport[],
  liftedAt: number,
): readonly HeardReport[] {
  const newest = Math.max(...reports.map(({at}) => at));
  return reports.filter(
    ({at}) => at > liftedAt && newest - at <= REPORT_LIFE_MILLISECONDS,
  );
}

function standingOf(
  digest: string,
  counted: readonly RunReport[],
  liftedAt: number,
): SuspectStanding {
  const crashed = counted.filter(({hasCrashed}) => hasCrashed);
  const crashes = crashed.length;
  const survived = counted.length - crashes;
  // One that many callers send is running whenever an upstream ends, and mostly well.
  const isKeptOut = crashes >= CRASHES_TO_QUARANTINE && crashes > survived;
  const lastCrashAt = Math.max(0, ...crashed.map(({at}) => at));
  const until = isKeptOut ? lastCrashAt + QUARANTINE_MILLISECONDS : 0;
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

/** The same reports stay, in whatever order they were heard. */
function dropOldest(reports: Map<string, HeardReport>): void {
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
