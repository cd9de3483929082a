// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Builds the load hints of an upstream that entries get. */

import type {Admission} from '@lockpin/admission';
import type {LoadHint} from '@lockpin/routing';
import type {QuickDoubt} from './quickDoubt.js';
import type {StatedNotice} from './statedNotice.js';

/** The parts of an upstream's guard that a hint is built from. */
export interface HintSources {
  readonly admission: Admission;
  readonly doubt: QuickDoubt;
  readonly notice: StatedNotice;
  /** See KnownNotice. */
  readonly incarnation: string;
}

/** The hint for an upstream in a state, with a number of concurrent calls. */
export function upstreamHint(
  now: number,
  state: LoadHint['state'],
  limit: number,
  sources: HintSources,
): LoadHint {
  const {occupied} = sources.admission;
  return {
    state,
    occupied,
    limit,
    ...doubtPart(now, state, sources),
    ...noticePart(now, sources),
  };
}

function doubtPart(
  now: number,
  state: LoadHint['state'],
  {doubt}: HintSources,
): Partial<LoadHint> {
  return state !== 'doubted'
    ? {}
    : {
        doubtedFor: doubt.announcedMilliseconds(now),
        probeIn: doubt.millisecondsUntilProbe(now),
      };
}

function noticePart(
  now: number,
  {admission, notice, incarnation}: HintSources,
): Partial<LoadHint> {
  const {requestsPerSecond, isLeaving} = notice;
  if (requestsPerSecond === undefined && !isLeaving) {
    return {};
  }
  const availableIn = admission.waitForLimit(now);
  return {
    ...(availableIn > 0 ? {availableIn} : {}),
    notice: {incarnation, requestsPerSecond, isLeaving},
  };
}
