// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Starts programs with fewer file descriptors. */

/** A program and its arguments. */
export type CommandLine = readonly [string, ...string[]];

/** Only a shell can lower the limit; it then becomes the program. */
export function withDescriptorLimit(
  [file, ...words]: CommandLine,
  descriptors: number | undefined,
): CommandLine {
  return descriptors === undefined
    ? [file, ...words]
    : ['sh', '-c', `ulimit -n ${descriptors}; exec "$0" "$@"`, file, ...words];
}
