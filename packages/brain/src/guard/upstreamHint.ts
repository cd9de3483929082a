// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Builds the load hints of an upstream that entries get. */

import type {Admission} from '@lockpin/admission';
import type {LoadHint, RetryAllowance} from '@lockpin/routing';
import type {QuickDoubt} from './quickDoubt.js';
import type {StatedNotice} from './statedNotice.js';

/** The parts of an upstream's guard that a hint is built from. */
export interface HintSources {
  readonly admission: Admission;
  readonly doubt: QuickDoubt;
  readonly notice: StatedNotice;
  /** See KnownNotice. */
  readonly incarnation: string;
  /** The retries that the guard pays for; undefined when not to be announced. */
  readonly announcedRetries: RetryAllowance | undefined;
  /** Share of recent calls that the upstream rejected, from 0 to 1. */
  readonly rejectedShare: number;
}

/** A smaller share of rejected calls is not announced. */
const MINIMUM_ANNOUNCED_SHARE = 0.05;

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
    ...capacityPart(now, sources),
  };
}

/** What a further call would find: a wait, retries and rejections. */
function capacityPart(
  now: number,
  {admission, announcedRetries, rejectedShare}: HintSources,
): Partial<LoadHint> {
  if (announcedRetries === undefined) {
    return {};
  }
  const slotIn = admission.waitForSlot(now);
  const retriesLeft = announcedRetries.retriesLeft(now);
  return {
    ...(slotIn > 0 ? {slotIn} : {}),
    ...(Number.isFinite(retriesLeft) ? {retriesLeft} : {}),
    ...(rejectedShare >= MINIMUM_ANNOUNCED_SHARE ? {rejectedShare} : {}),
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
