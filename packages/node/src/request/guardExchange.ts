// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The state of one call at its guard, from its offer to its end. */

import type {Readable} from 'node:stream';
import type {GuardCall} from '@lockpin/brain';
import type {UpstreamNotice} from '@lockpin/types';
import type {Dispatcher} from 'undici';
import type {AnswerForwarder} from './answerForwarder.js';
import type {ExchangeHandlers} from './exchange.js';
import type {CallHead} from './frames.js';
import {guardTerms} from './guardTerms.js';
import type {CutReason} from './heldAnswer.js';
import type {UpstreamAnswer} from './upstreamAnswer.js';

/** The guard gives up this much before the entry, so that its reply arrives. */
const HOP_ALLOWANCE_MILLISECONDS = 5;

/** Calls with this much time or less get no allowance. */
const SHORT_CALL_MILLISECONDS = 50;

/** The mutable state of a call at its guard. */
export interface GuardExchange {
  /** Assigned by the guard: the ids of different entries may collide. */
  readonly id: string;
  /** Completed by the request in the go signal, when there is one. */
  head: CallHead;
  handlers: ExchangeHandlers;
  deadlineTimer: NodeJS.Timeout | undefined;
  readonly offeredAt: number;
  /** When the guard gives up the call. */
  readonly giveUpAt: number;
  readonly deadline: number;
  upstream: string;
  sentAt: number | undefined;
  controller: Dispatcher.DispatchController | undefined;
  /** Reads on from the upstream; undefined if reading was never suspended. */
  readOn: (() => void) | undefined;
  requestBody: Readable | undefined;
  isAborted: boolean;
  answer: UpstreamAnswer | undefined;
  /** Buffers a long answer for its reader. */
  forwarder: AnswerForwarder | undefined;
  /** Why the answer was cut off; undefined if it was not. */
  cutReason: CutReason | undefined;
  /** How the connection to the upstream failed; see GuardRecord. */
  failure: string | undefined;
  /** Stated in the head of the answer. */
  notice: UpstreamNotice | undefined;
}

/** Replaces the handlers of an entry that has cancelled its call. */
export const NOOP_HANDLERS: ExchangeHandlers = {
  onContinue: () => undefined,
  onQueued: () => undefined,
  onAnswer: () => undefined,
  onChunk: () => true,
  onEnd: () => undefined,
  onRefusal: () => undefined,
  onLost: () => undefined,
};

/** Creates the state of a call that is offered now. */
export function createGuardExchange(
  id: string,
  head: CallHead,
  handlers: ExchangeHandlers,
  now: number,
): GuardExchange {
  return {
    id,
    head,
    handlers,
    deadlineTimer: undefined,
    offeredAt: now,
    giveUpAt: now + guardTimeout(head),
    deadline: now + head.remaining,
    upstream: head.upstream ?? '',
    sentAt: undefined,
    controller: undefined,
    readOn: undefined,
    requestBody: undefined,
    isAborted: false,
    answer: undefined,
    forwarder: undefined,
    cutReason: undefined,
    failure: undefined,
    notice: undefined,
  };
}

/** Builds the call as the guard's decision logic receives it. */
export function guardCall(
  id: string,
  head: CallHead,
  now: number,
  deadline: number,
): GuardCall {
  const {usefulFor, startWithin, terms} = head;
  return {
    id,
    requestId: head.requestId,
    service: head.service,
    upstream: head.upstream,
    customer: head.customer,
    weight: head.weight,
    route: head.route,
    repetition: head.repetition,
    priority: head.priority,
    deadline,
    attempt: head.attempt,
    retryShare: head.retryShare,
    mayBeRepeat: head.mayBeRepeat,
    onceKey: head.onceKey,
    requestDigest: head.requestDigest,
    usefulUntil: usefulFor === undefined ? undefined : now + usefulFor,
    startBy: startWithin === undefined ? undefined : now + startWithin,
    needsGo: head.needsGo,
    ...guardTerms(terms),
    expectedMilliseconds: head.expectedMilliseconds,
    knownNotice: head.knownNotice,
    isNested: head.isNested,
  };
}

/** How long the guard keeps an unfinished call, in milliseconds. */
function guardTimeout({remaining}: CallHead): number {
  const allowance =
    remaining > SHORT_CALL_MILLISECONDS ? HOP_ALLOWANCE_MILLISECONDS : 0;
  return Math.max(0, remaining - allowance);
}
