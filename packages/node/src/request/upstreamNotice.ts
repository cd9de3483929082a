// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reads the notice of an upstream from the headers of its answer. */

import type {UpstreamNotice} from '@lockpin/types';

/** A header's value as parsed by the HTTP client; an array if it is repeated. */
export type HeaderValue = string | readonly string[] | undefined;

/** The headers that carry a notice. */
export interface NoticeHeaders {
  /** Requests per second, as a decimal number. */
  readonly limit: HeaderValue;
  /** Present with this value while the upstream is leaving. */
  readonly leaving: HeaderValue;
}

/** The notice of an upstream that states nothing about itself. */
export const NO_NOTICE: UpstreamNotice = {
  requestsPerSecond: undefined,
  isLeaving: false,
  unreadableLimit: undefined,
};

const LEAVING_VALUE = '1';

const DECIMAL_NUMBER = /^(\d+\.?\d*|\.\d+)$/;

/** The longest unreadable value that is logged, in characters. */
const LONGEST_LOGGED_VALUE = 40;

/** Reads a notice; a limit that is no decimal number counts as none. */
export function readUpstreamNotice({
  limit,
  leaving,
}: NoticeHeaders): UpstreamNotice {
  if (limit === undefined && leaving === undefined) {
    return NO_NOTICE;
  }
  const isLeaving = trimmed(leaving) === LEAVING_VALUE;
  const text = trimmed(limit);
  if (text === undefined) {
    return {...NO_NOTICE, isLeaving};
  }
  return DECIMAL_NUMBER.test(text) && Number.isFinite(Number(text))
    ? {...NO_NOTICE, isLeaving, requestsPerSecond: Number(text)}
    : {
        ...NO_NOTICE,
        isLeaving,
        unreadableLimit: text.slice(0, LONGEST_LOGGED_VALUE),
      };
}

function trimmed(value: HeaderValue): string | undefined {
  const text = typeof value === 'object' ? value.join(', ') : value;
  return text?.trim();
}

/** The kinds of statements in a notice, for metrics. */
export function noticeKinds(
  notice: UpstreamNotice = NO_NOTICE,
): readonly string[] {
  const {requestsPerSecond, isLeaving, unreadableLimit} = notice;
  return [
    ...(requestsPerSecond === undefined ? [] : ['limit']),
    ...(unreadableLimit === undefined ? [] : ['unreadable-limit']),
    ...(isLeaving ? ['leaving'] : []),
  ];
}
