// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reports that boxes exchange on the runs of suspect requests. */

/** The outcome of one run of a request. */
export interface RunReport {
  /** Equal for all requests that an upstream cannot distinguish. */
  readonly digest: string;
  /** By the clock of the reporting box, in milliseconds since 1970. */
  readonly at: number;
  /** Whether the upstream's process ended while it ran the request. */
  readonly hasCrashed: boolean;
  /** Version of the upstream's program; absent if it is not reported. */
  readonly program?: string | undefined;
}

/**
 * Maximum number of reports that a box publishes, the newest ones. Four crashes
 * of an upstream with four slots fill the list; by then all boxes have received
 * the first reports.
 */
export const MAXIMUM_REPORTS = 16;

/** Reports count for a day, since most callers repeat a request soon. */
export const REPORT_LIFETIME_MILLISECONDS = 24 * 60 * 60 * 1000;

/** Identifies a report among all reports on its request. */
export function reportKey(box: string, {at, hasCrashed}: RunReport): string {
  return `${box} ${at} ${hasCrashed}`;
}

/** Whether two lists of reports from one box are equal. */
export function areSameReports(
  a: readonly RunReport[],
  b: readonly RunReport[],
): boolean {
  return (
    a.length === b.length &&
    a.every((report, i) => isSameReport(report, b[i] as RunReport))
  );
}

function isSameReport(a: RunReport, b: RunReport): boolean {
  return (
    a.digest === b.digest && a.at === b.at && a.hasCrashed === b.hasCrashed
  );
}
