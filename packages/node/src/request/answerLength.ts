// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The length by which callers recognize the end of an answer. */

import type {AnswerHead, FlatHeaders} from './frames.js';
import {NO_BODY_STATUSES} from './upstreamAnswer.js';

const LENGTH_HEADER = 'content-length';

/** Whether the headers of an answer state its length. */
export function hasLength(headers: FlatHeaders): boolean {
  return headers.some(
    (name, i) => i % 2 === 0 && name.toLowerCase() === LENGTH_HEADER,
  );
}

/** The header that states the length of a complete answer, if it lacks one. */
export function lengthOfWhole(
  {status, headers, body, hasMore}: AnswerHead,
  method: string | undefined,
): FlatHeaders {
  const hasNoBody = method === 'HEAD' || NO_BODY_STATUSES.has(status);
  return hasMore || hasNoBody || hasLength(headers)
    ? []
    : [LENGTH_HEADER, String(body?.length ?? 0)];
}
