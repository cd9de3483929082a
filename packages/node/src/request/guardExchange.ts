// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a guard keeps of one call from its offer to its end. */

import type {Readable} from 'node:stream';
import type {GuardCall} from '@lockpin/brain';
import type {Dispatcher} from 'undici';
import type {ExchangeHandlers} from './exchange.js';
import type {CallHead} from './frames.js';
import type {UpstreamAnswer} from './upstreamAnswer.js';

/** Changes as the call goes on. */
export interface GuardExchange {
  /** Given here: what entries call their calls need not differ. */
  readonly id: string;
  /** Its request comes with the go where there is one. */
  head: CallHead;
  handlers: ExchangeHandlers;
  timer: NodeJS.Timeout | undefined;
  readonly offeredAt: number;
  /** The guard gives it up then. */
  readonly giveUpAt: number;
  readonly deadline: number;
  upstream: string;
  sentAt: number | undefined;
  controller: Dispatcher.DispatchController | undefined;
  requestBody: Readable | undefined;
  isAborted: boolean;
  answer: UpstreamAnswer | undefined;
}

/** In place of the handlers of an entry that has cancelled its call. */
export const NO_HANDLERS: ExchangeHandlers = {
  onContinue: () => undefined,
  onQueued: () => undefined,
  onAnswer: () => undefined,
  onChunk: () => true,
  onEnd: () => undefined,
  onRefusal: () => undefined,
  onLost: () => undefined,
};

/** The call as the guard's brain is told of it. */
export function guardCall(
  id: string,
  head: CallHead,
  now: number,
  deadline: number,
): GuardCall {
  const {usefulFor, startWithin, terms} = head;
  return {
    id,
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
    mayWait: terms !== 'immediate',
    mayRunDoubted: terms === 'last-resort',
    expectedMilliseconds: head.expectedMilliseconds,
  };
}
