// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What boxes tell each other of the runs of suspect requests. */

/** How one run of a request ended. */
export interface RunReport {
  /** The same for all requests that an upstream cannot tell apart. */
  readonly digest: string;
  /** By the clock of the box that tells, in milliseconds since 1970. */
  readonly at: number;
  /** The upstream's process ended while it ran the request. */
  readonly hasCrashed: boolean;
  /** Version of the program that ran it; absent where upstreams do not tell it. */
  readonly program?: string | undefined;
}

/**
 * Reports that a box tells at most, the newest. Four ends of an upstream with four
 * slots fill them; all boxes have learnt of the first by then.
 */
export const MOST_REPORTS = 16;

/** A report counts for a day: whoever sends the request again mostly does so soon. */
export const REPORT_LIFE_MILLISECONDS = 24 * 60 * 60 * 1000;

/** Tells a report apart from all others of its request. */
export function reportKey(box: string, {at, hasCrashed}: RunReport): string {
  return `${box} ${at} ${hasCrashed}`;
}

/** Whether two lists of reports of one box say the same. */
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
