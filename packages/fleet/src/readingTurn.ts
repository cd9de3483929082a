// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * When the long polls of a fleet end. A store that falls silent leaves those hanging that
 * are under way, and whoever hangs hears nothing for the rest of the wait. So the nodes
 * that read take turns: their waits end one after the other, at equal distances, and soon
 * after a silence one of them reads anew and tells the others.
 */

import type {RecordStream} from './recordStore.js';

/** A node's place among those that read the store. */
export interface ReadingTurn {
  /** Nodes that read for the fleet. */
  readonly readers: number;
  /** From 0 to 1: where in each round its reads end. */
  readonly phase: number;
}

/** Time between the ends of two reads in the fleet; each read is paid for. */
const BETWEEN_READS_MILLISECONDS: Readonly<Record<RecordStream, number>> = {
  configuration: 750,
  boxes: 1500,
};

/** The least time of a round, in a small fleet. */
const SHORTEST_ROUND_MILLISECONDS = 2000;

/** The store lets a read wait no longer than 30 s; a wait takes up to 1.5 rounds. */
const LONGEST_ROUND_MILLISECONDS = 19_000;

/** A wait takes half a round at least, also one that begins shortly before its turn. */
const LEAST_SHARE = 0.5;

/** The most of a round that a wait takes. */
const MOST_SHARE = 1 + LEAST_SHARE;

/** How long a read that begins now waits for news; in milliseconds. */
export function waitForTurn(
  now: number,
  stream: RecordStream,
  {readers, phase}: ReadingTurn,
  longestWait: number,
): number {
  const round = Math.min(
    LONGEST_ROUND_MILLISECONDS,
    longestWait / MOST_SHARE,
    Math.max(
      SHORTEST_ROUND_MILLISECONDS,
      readers * BETWEEN_READS_MILLISECONDS[stream],
    ),
  );
  const earliest = now + round * LEAST_SHARE;
  const rounds = Math.ceil(earliest / round - phase);
  return Math.round((rounds + phase) * round - now);
}
