// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Exit codes of the lockpin command line; see docs/reference/exitCodes.md. */

/** The exit code for each outcome of a command. */
export const EXIT_CODES = {
  success: 0,
  failed: 1,
  usage: 2,
  invalid: 3,
  conflict: 4,
  notFound: 5,
  denied: 6,
  unavailable: 7,
  unknown: 8,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];
