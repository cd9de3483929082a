// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The memory of a node of a declared fleet for answers to slow readers. */

import {answerBounds} from '@lockpin/admission';
import {AnswerMemory} from '../request/answerMemory.js';
import type {FleetNodeSettings} from './fleetPorts.js';
import {mechanismSwitch} from './mechanisms.js';
import type {NodeMetrics} from './metrics.js';

/** Where no limit is set; the smallest boxes have this much. */
const DEFAULT_MEMORY_MEGABYTES = 250;

const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Creates the memory; undefined if answers are not to be buffered. */
export function createAnswerMemory(
  {memoryMegabytes, switchedOff}: FleetNodeSettings,
  metrics: Pick<NodeMetrics, 'increment'>,
): AnswerMemory | undefined {
  if (!mechanismSwitch(switchedOff)('answer-buffering')) {
    return undefined;
  }
  const megabytes = memoryMegabytes ?? DEFAULT_MEMORY_MEGABYTES;
  return new AnswerMemory(
    answerBounds(megabytes * BYTES_PER_MEGABYTE),
    (bound) => metrics.increment('answers.blocked', {bound}),
  );
}
