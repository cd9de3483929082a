// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Tells answers in HTTP from others that undici takes for answers. Status lines
 * are checked at the connection, see statusLines.ts.
 */

import type {IncomingHttpHeaders} from 'node:http';

/** Statuses below this are those of interim answers. */
export const FIRST_FINAL_STATUS = 200;
const LAST_STATUS = 599;

const NO_CONTENT = 204;
const RESET_CONTENT = 205;

/** Whether HTTP knows this status for final answers. */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
}

/** Whether these are the status and headers of a final answer in HTTP. */
export function isAnswer(
  status: number,
  headers: IncomingHttpHeaders,
): boolean {
  const framing = headers['transfer-encoding'] as unknown;
  const hasSoundFraming =
    framing === undefined || (status !== NO_CONTENT && isChunked(framing));
  const statesBody = Number(headers['content-length'] ?? 0) !== 0;
  return (
    isFinalStatus(status) &&
    hasSoundFraming &&
    !(statesBody && mustBeEmpty(status))
  );
}

/**
 * Whether the answer ends with its head, though undici may read a body: 304 may
 * state the length of another answer.
 */
export function mustBeEmpty(status: number): boolean {
  return status === NO_CONTENT || status === RESET_CONTENT;
}

/** Requests ask for no other coding; undici reads on to the close in others. */
function isChunked(framing: unknown): boolean {
  return typeof framing === 'string' && framing.toLowerCase() === 'chunked';
}
