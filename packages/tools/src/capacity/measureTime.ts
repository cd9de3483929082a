// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Measures time and memory of repeated work in this process. */

/** Duration of one run in microseconds, as the median of several rounds. */
export function microsecondsPerRun(
  runs: number,
  work: (i: number) => void,
): number {
  const rounds = 5;
  const times: number[] = [];
  for (let round = 0; round < rounds; round += 1) {
    const startedAt = process.hrtime.bigint();
    for (let i = 0; i < runs; i += 1) {
      work(round * runs + i);
    }
    times.push(Number(process.hrtime.bigint() - startedAt) / 1000 / runs);
  }
  return times.sort((a, b) => a - b)[Math.floor(rounds / 2)] ?? 0;
}

/** Heap bytes retained by the value that the function returns. */
export function measureRetainedHeap<T>(make: () => T): {
  readonly bytes: number;
  readonly made: T;
} {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const made = make();
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - before;
  return {bytes, made};
}

function collectGarbage(): void {
  const collect = (globalThis as {readonly gc?: () => void}).gc;
  collect?.();
  collect?.();
}
