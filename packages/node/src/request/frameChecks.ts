// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Validates decoded frames. A node may be of another release, or broken: what it
 * sends must not fail later, where its connection is no longer known.
 */

import {validateHeaderName, validateHeaderValue} from 'node:http';
import type {CapacityRow, LoadHint} from '@lockpin/routing';
import type {
  AnswerHead,
  CallHead,
  CallRequest,
  Frame,
  PeerNews,
  RefusalFrame,
} from './frameTypes.js';

/**
 * Statuses that can be sent to a caller. Those that HTTP does not know end their
 * call, not the connection: guards of earlier releases pass them on.
 */
const STATUSES = {first: 200, last: 999};

/** Whether all values of a frame have the types that its kind declares. */
export function isValidFrame(frame: Frame): boolean {
  switch (frame.kind) {
    case 'call':
      return isCallHead(frame.head);
    case 'go':
      return isCallRequest(frame.request);
    case 'answer':
      return isAnswerHead(frame.head);
    case 'refusal':
      return isRefusal(frame.refusal);
    case 'news':
      return isNews(frame.news);
    default:
      return true;
  }
}

function isCallHead(head: CallHead): boolean {
  const {requestId, service, customer, route} = head;
  const {weight, priority, remaining, attempt, retryShare} = head;
  const {usefulFor, startWithin, expectedMilliseconds} = head;
  return (
    isCallRequest(head) &&
    [requestId, service, customer, route].every(isText) &&
    [head.upstream, head.onceKey].every(isOptional(isText)) &&
    [weight, priority, remaining, attempt, retryShare].every(isNumber) &&
    [usefulFor, startWithin, expectedMilliseconds].every(
      isOptional(isNumber),
    ) &&
    [head.hasMore, head.needsGo].every(isBoolean)
  );
}

/** Headers that cannot be sent to an upstream fail their call only. */
function isCallRequest(request: CallRequest): boolean {
  const {method, path, headers, body, requestDigest} = request;
  return (
    [method, path, requestDigest].every(isText) &&
    isList(isText)(headers) &&
    isOptional(isBytes)(body)
  );
}

function isAnswerHead(head: AnswerHead): boolean {
  const {status, headers, upstream, hint, others} = head;
  return (
    Number.isInteger(status) &&
    status >= STATUSES.first &&
    status <= STATUSES.last &&
    areHeaders(headers) &&
    isText(upstream) &&
    isOptional(isHint)(hint) &&
    isOptional(isNumber)(head.ranMilliseconds) &&
    isOptional(isBytes)(head.body) &&
    isBoolean(head.hasMore) &&
    isOptional(areCapacityRows)(others)
  );
}

function isRefusal({refusal, upstream, hint, others}: RefusalFrame): boolean {
  return (
    isNumber(refusal.retryAfterMilliseconds) &&
    isText(upstream) &&
    isOptional(isHint)(hint) &&
    isOptional(areCapacityRows)(others)
  );
}

/** Box records are validated where they are used. */
function isNews(news: PeerNews): boolean {
  switch (news.kind) {
    case 'version':
      return isNumber(news.version) && isText(news.address);
    case 'standing':
      return isText(news.upstream) && isHint(news.hint);
    case 'follow':
      return isBoolean(news.isWanted);
    case 'version-request':
      return isText(news.address) && isNumber(news.clock);
    case 'report': {
      const {version, boxesDigest, storeAge, nextWithin} = news.report;
      return (
        isText(news.address) &&
        [version, boxesDigest, storeAge, nextWithin].every(isNumber)
      );
    }
    case 'boxes':
      return true;
    case 'records-lost':
      return isNumber(news.era) && isList(isText)(news.boxes);
    case 'store-restored':
      return isNumber(news.era);
    case 'limit-request': {
      const {box, loan, draws} = news;
      const isValidLoan =
        loan === undefined ||
        ([
          loan.since.process,
          loan.since.at,
          loan.boxes,
          loan.poolsDigest,
        ].every(isNumber) &&
          isOptional(isList(isText))(loan.pools));
      return (
        isText(box) &&
        isValidLoan &&
        draws.every(
          ({customer, ...amounts}) =>
            isText(customer) && Object.values(amounts).every(isNumber),
        )
      );
    }
    case 'limit-reply': {
      const {box, moment, poolsDigest, lacksPools, grants} = news;
      return (
        isText(box) &&
        [moment.process, moment.at, poolsDigest].every(isNumber) &&
        isBoolean(lacksPools) &&
        grants.every(
          ({customer, tokens, retryAfterMilliseconds}) =>
            isText(customer) &&
            [tokens, retryAfterMilliseconds].every(isNumber),
        )
      );
    }
  }
}

function isHint(hint: LoadHint): boolean {
  const {state, notice, ...numbers} = hint;
  return (
    isText(state) &&
    isNumber(hint.occupied) &&
    isNumber(hint.limit) &&
    Object.values(numbers).every(isOptional(isNumber)) &&
    (notice === undefined ||
      (isText(notice.incarnation) &&
        isOptional(isNumber)(notice.requestsPerSecond)))
  );
}

function areCapacityRows(rows: readonly CapacityRow[]): boolean {
  return rows.every(
    ({box, ...numbers}) =>
      isText(box) && Object.values(numbers).every(isOptional(isNumber)),
  );
}

/** Whether a list of names and values in turn can be sent to a caller. */
function areHeaders(headers: unknown): boolean {
  if (!isList(isText)(headers) || headers.length % 2 !== 0) {
    return false;
  }
  try {
    for (let i = 0; i < headers.length; i += 2) {
      const name = headers[i] as string;
      validateHeaderName(name);
      validateHeaderValue(name, headers[i + 1] as string);
    }
    return true;
  } catch {
    // These functions only throw; the violation is logged with the connection.
    return false;
  }
}

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

/** Waits may be infinite. */
function isNumber(value: unknown): value is number {
  return typeof value === 'number' && !Number.isNaN(value);
}

function isBoolean(value: unknown): value is boolean {
  return typeof value === 'boolean';
}

function isBytes(value: unknown): value is Uint8Array {
  return value instanceof Uint8Array;
}

function isList<T>(isItem: (value: unknown) => value is T) {
  return (value: unknown): value is readonly T[] =>
    Array.isArray(value) && value.every(isItem);
}

function isOptional<T>(isValid: (value: T) => boolean) {
  return (value: T | undefined): boolean =>
    value === undefined || isValid(value);
}
