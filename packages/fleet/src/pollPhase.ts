// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Staggers the long polls of a fleet. When the store stops answering, pending
 * polls hang, and their nodes learn of nothing for the rest of the wait. The
 * readers therefore end their polls at equal intervals, so that soon after an
 * outage begins one of them polls again and notifies the others.
 */

import type {RecordStream} from './recordStore.js';

/** A node's offset among the nodes that read the store. */
export interface PollPhase {
  /** Number of nodes that read for the fleet. */
  readonly readers: number;
  /** From 0 to 1: the point in each round at which the node's polls end. */
  readonly phase: number;
  /**
   * Milliseconds to add to the node's clock for the clock that all readers
   * agree on.
   */
  readonly clockOffset: number;
}

/**
 * Interval between the ends of two polls in the fleet; each poll has a cost.
 */
const POLL_SPACING_MILLISECONDS: Readonly<Record<RecordStream, number>> = {
  configuration: 750,
  boxes: 1500,
};

/** Minimum duration of a round; also the wait of a node without contact. */
const MINIMUM_ROUND_MILLISECONDS = 2000;

/**
 * The store limits the wait of a read to 30 s, and a wait takes up to 1.5
 * rounds.
 */
const MAXIMUM_ROUND_MILLISECONDS = 19_000;

/**
 * Minimum wait as a fraction of a round, also for a poll that starts shortly
 * before its end is due.
 */
const MINIMUM_ROUND_SHARE = 0.5;

/** Maximum wait as a fraction of a round. */
const MAXIMUM_ROUND_SHARE = 1 + MINIMUM_ROUND_SHARE;

/** How long a poll that starts now waits for records, in whole milliseconds. */
export function pollWait(
  now: number,
  stream: RecordStream,
  {readers, phase, clockOffset}: PollPhase,
  maximumWait: number,
): number {
  if (readers === 1) {
    return Math.floor(Math.min(MINIMUM_ROUND_MILLISECONDS, maximumWait));
  }
  const round = Math.min(
    MAXIMUM_ROUND_MILLISECONDS,
    maximumWait / MAXIMUM_ROUND_SHARE,
    Math.max(
      MINIMUM_ROUND_MILLISECONDS,
      readers * POLL_SPACING_MILLISECONDS[stream],
    ),
  );
  const time = now + clockOffset;
  const earliest = time + round * MINIMUM_ROUND_SHARE;
  const rounds = Math.ceil(earliest / round - phase);
  return Math.round((rounds + phase) * round - time);
}

/**
 * Number of readers whose polls end before those of a node in each round:
 * first those of the lowest rank in each data centre, then the others.
 */
export function readersBefore(
  counts: ReadonlyMap<string, number>,
  dataCentre: string,
  rank: number,
): number {
  const ownRank = Math.min(rank, (counts.get(dataCentre) ?? 1) - 1);
  let before = 0;
  for (const [other, count] of counts) {
    const isEarlierInRank = other < dataCentre && count > ownRank;
    before += Math.min(count, ownRank) + (isEarlierInRank ? 1 : 0);
  }
  return before;
}
