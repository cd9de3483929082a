// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The guard's side of an exchange: from an offered call to its upstream. */

import {Readable} from 'node:stream';
import type {Dispatcher} from 'undici';
import type {
  GuardAction,
  GuardBrain,
  GuardCall,
  GuardEvent,
} from '@lockpin/brain';
import type {StoredAnswer} from '@lockpin/once';
import type {Clock, RandomSource} from '@lockpin/types';
import type {UpstreamPools} from '../connection/upstreamPools.js';
import type {Exchange, ExchangeHandlers} from './exchange.js';
import type {CallHead} from './frames.js';
import {headerRecord} from './headers.js';
import {UpstreamAnswer} from './upstreamAnswer.js';
import {LOCKPIN_UPSTREAM_PROTOCOL} from './upstreamProtocol.js';
import type {UpstreamProtocol} from './upstreamProtocol.js';

/** The guard gives up this much earlier than the entry, so as to be heard. */
const HOP_ALLOWANCE_MILLISECONDS = 5;

/** Statuses below this announce an answer rather than being one. */
const FIRST_FINAL_STATUS = 200;

/** Milliseconds between ticks while calls are under way. */
const BUSY_TICK_MILLISECONDS = 20;

/** Calls with less time than this get no allowance. */
const SHORT_CALL_MILLISECONDS = 50;

/** What the guard's service needs of its process. */
export interface GuardServiceDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly brain: GuardBrain;
  readonly pools: UpstreamPools;
  readonly protocol?: UpstreamProtocol;
  /** Told of every call that ended here. */
  readonly onEnded?: (record: GuardRecord) => void;
  /** Calls back again and again; returns what stops it. */
  readonly every: (milliseconds: number, run: () => void) => () => void;
  /** Takes the actions that do not concern one exchange. */
  readonly onOther: (
    action: GuardAction & {readonly kind: 'report' | 'timeline' | 'standing'},
  ) => void;
}

/** What became of one call at the guard of its upstream. */
export interface GuardRecord {
  readonly head: CallHead;
  readonly upstream: string;
  readonly outcome: 'answered' | 'not-run' | 'unknown' | 'cancelled';
  /** The reason of a refusal; empty for an answer. */
  readonly reason: string;
  /** The upstream's status; 0 when there is none. */
  readonly status: number;
  /** From the offer to the call's way to the upstream, or its end. */
  readonly waitedMilliseconds: number;
  /** From there to the answer; 0 when the call was never sent. */
  readonly ranMilliseconds: number;
}

interface GuardExchange {
  /** Given here: what entries call their calls need not differ. */
  readonly id: string;
  /** Its request comes with the go where there is one. */
  head: CallHead;
  handlers: ExchangeHandlers;
  readonly timer: NodeJS.Timeout;
  readonly offeredAt: number;
  readonly deadline: number;
  upstream: string;
  sentAt: number | undefined;
  controller: Dispatcher.DispatchController | undefined;
  requestBody: Readable | undefined;
  isAborted: boolean;
  answer: UpstreamAnswer | undefined;
}

const NO_HANDLERS: ExchangeHandlers = {
  onContinue: () => undefined,
  onQueued: () => undefined,
  onAnswer: () => undefined,
  onChunk: () => true,
  onEnd: () => undefined,
  onRefusal: () => undefined,
  onLost: () => undefined,
};

/** Offers calls to the guard's brain and does what it decides. */
export class GuardService {
  private readonly exchanges = new Map<string, GuardExchange>();
  private serial = 0;
  private stopTicking: (() => void) | undefined;

  constructor(private readonly dependencies: GuardServiceDependencies) {}

  /** Calls accepted and not yet ended. */
  get callCount(): number {
    return this.exchanges.size;
  }

  /** Tells the brain of an event and does what it decides. */
  handle(event: GuardEvent): void {
    const {brain, clock, random} = this.dependencies;
    for (const action of brain.handle(clock(), random, event)) {
      this.perform(action);
    }
  }

  /** Begins an exchange; every call ends in an answer, a refusal or a loss. */
  begin(head: CallHead, handlers: ExchangeHandlers): Exchange {
    const allowance =
      head.remaining > SHORT_CALL_MILLISECONDS ? HOP_ALLOWANCE_MILLISECONDS : 0;
    const patience = Math.max(0, head.remaining - allowance);
    this.serial += 1;
    const callId = String(this.serial);
    const now = this.dependencies.clock();
    const deadline = now + patience;
    const exchange: GuardExchange = {
      id: callId,
      head,
      handlers,
      timer: setTimeout(
        () => this.handle({kind: 'call-deadline-passed', callId}),
        patience,
      ),
      offeredAt: now,
      deadline: now + head.remaining,
      upstream: head.upstream ?? '',
      sentAt: undefined,
      controller: undefined,
      requestBody: undefined,
      isAborted: false,
      answer: undefined,
    };
    this.exchanges.set(callId, exchange);
    this.stopTicking ??= this.dependencies.every(BUSY_TICK_MILLISECONDS, () =>
      this.busyTick(),
    );
    this.handle({
      kind: 'call-offered',
      call: guardCall(callId, head, now, deadline),
    });
    return this.controls(exchange);
  }

  /** Deadlines and slowness are looked at often while calls are under way. */
  private busyTick(): void {
    if (this.exchanges.size === 0) {
      this.stopTicking?.();
      this.stopTicking = undefined;
    }
    this.handle({kind: 'tick'});
  }

  private controls(exchange: GuardExchange): Exchange {
    return {
      sendChunk: (bytes) => exchange.requestBody?.push(bytes) ?? true,
      sendEnd: () => void exchange.requestBody?.push(null),
      go: (request) => {
        exchange.head = {...exchange.head, ...request};
        this.handle({kind: 'call-go', callId: exchange.id});
      },
      resume: () => exchange.controller?.resume(),
      cancel: () => {
        exchange.handlers = NO_HANDLERS;
        exchange.controller?.resume();
        this.handle({kind: 'call-cancelled', callId: exchange.id});
      },
    };
  }

  private perform(action: GuardAction): void {
    if (!('callId' in action)) {
      this.dependencies.onOther(action);
      return;
    }
    const exchange = this.exchanges.get(action.callId);
    if (exchange === undefined) {
      return;
    }
    switch (action.kind) {
      case 'run':
        this.run(exchange, action.upstream);
        break;
      case 'reserve':
        exchange.handlers.onContinue();
        break;
      case 'queue':
        exchange.handlers.onQueued();
        break;
      case 'refuse':
        this.refuse(exchange, action);
        break;
      case 'answer-stored':
        this.answerStored(exchange, action.answer);
        break;
      case 'abort':
        exchange.isAborted = true;
        exchange.requestBody?.destroy();
        exchange.controller?.abort(new Error('given up'));
        break;
    }
  }

  private refuse(
    exchange: GuardExchange,
    action: GuardAction & {readonly kind: 'refuse'},
  ): void {
    this.forget(exchange);
    const {reason, outcome} = action.refusal;
    const wasCancelled = exchange.handlers === NO_HANDLERS;
    exchange.upstream = action.upstream;
    this.record(exchange, wasCancelled ? 'cancelled' : outcome, reason, 0);
    if (exchange.answer?.hasBegun) {
      exchange.handlers.onLost(true);
      return;
    }
    const {refusal, upstream, hint} = action;
    exchange.handlers.onRefusal({refusal, upstream, hint});
  }

  private answerStored(exchange: GuardExchange, answer: StoredAnswer): void {
    this.forget(exchange);
    this.record(exchange, 'answered', 'stored', answer.status);
    exchange.handlers.onAnswer({
      status: answer.status,
      headers: [
        ...Object.entries(answer.headers).flat(),
        'lockpin-once',
        'stored',
      ],
      upstream: '',
      hint: undefined,
      isUnframed: false,
      ranMilliseconds: undefined,
      body: answer.body,
      hasMore: false,
    });
  }

  private run(exchange: GuardExchange, upstream: string): void {
    const {head, deadline} = exchange;
    const {pools, clock, brain} = this.dependencies;
    const isSingle = head.repetition === 'at-most-once';
    const pool = isSingle ? pools.single(upstream) : pools.get(upstream);
    if (pool === undefined) {
      this.handle({
        kind: 'upstream-failed',
        callId: exchange.id,
        wasSent: false,
      });
      return;
    }
    if (head.hasMore) {
      exchange.requestBody = new Readable({
        read: () => exchange.handlers.onContinue(),
      });
    }
    const now = clock();
    if (!head.needsGo && !head.hasMore) {
      exchange.handlers.onContinue();
    }
    exchange.upstream = upstream;
    exchange.sentAt = now;
    pool.dispatch(
      {
        path: head.path,
        method: head.method as Dispatcher.HttpMethod,
        headers: [
          ...this.protocol.callHeaders({
            head,
            remaining: Math.max(0, deadline - now),
            deadline,
            lifetime: brain.lifetimeOf(upstream),
          }),
        ],
        body: exchange.requestBody ?? requestBytes(head),
        reset: isSingle,
      },
      this.dispatchHandler(exchange, upstream),
    );
    if (isSingle) {
      void pool.close();
    }
  }

  private get protocol(): UpstreamProtocol {
    return this.dependencies.protocol ?? LOCKPIN_UPSTREAM_PROTOCOL;
  }

  private dispatchHandler(
    exchange: GuardExchange,
    upstream: string,
  ): Dispatcher.DispatchHandler {
    let wasSent = false;
    const callId = exchange.id;
    return {
      onRequestStart: (controller) => {
        exchange.controller = controller;
        if (exchange.isAborted) {
          controller.abort(new Error('given up'));
          return;
        }
        wasSent = true;
      },
      onResponseStart: (_controller, status, headers) => {
        if (status < FIRST_FINAL_STATUS) {
          return;
        }
        const verdict = this.protocol.judge(exchange.head, status, headers);
        exchange.answer = new UpstreamAnswer(
          status,
          headers,
          verdict,
          exchange.head.repetition === 'once-only',
          this.protocol.holdsUnframed,
        );
        const isPassed = verdict === 'answer' || verdict === 'overloaded';
        if (!exchange.answer.isHeldBack && isPassed) {
          this.sendHead(exchange, exchange.answer, upstream);
        }
      },
      onResponseData: (controller, chunk) =>
        this.received(exchange, controller, chunk),
      onResponseEnd: () => this.answered(exchange, upstream),
      onResponseError: () =>
        this.handle({kind: 'upstream-failed', callId, wasSent}),
    };
  }

  private received(
    exchange: GuardExchange,
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    const {answer} = exchange;
    if (answer === undefined || (!answer.hasBegun && !answer.isHeldBack)) {
      return;
    }
    const taken = answer.take(chunk);
    if (taken === 'held') {
      return;
    }
    const isFirst = taken === 'too-long-to-hold';
    if (isFirst) {
      this.sendHead(exchange, answer, exchange.upstream);
    }
    const bytes = isFirst ? answer.body() : chunk;
    if (!exchange.handlers.onChunk(bytes)) {
      controller.pause();
    }
  }

  private answered(exchange: GuardExchange, upstream: string): void {
    const {answer} = exchange;
    if (answer === undefined || !this.exchanges.has(exchange.id)) {
      return;
    }
    const callId = exchange.id;
    if (this.dependencies.pools.isConnectionReset) {
      this.handle({kind: 'upstream-failed', callId, wasSent: true});
      return;
    }
    switch (answer.verdict) {
      case 'not-run':
        this.handle({
          kind: 'upstream-refused',
          callId,
          reason: 'upstream-refused',
        });
        return;
      case 'other-upstream':
        this.handle({
          kind: 'upstream-refused',
          callId,
          reason: 'upstream-replaced',
        });
        return;
      case 'invalid':
        this.handle({kind: 'upstream-failed', callId, wasSent: true});
        return;
    }
    this.forget(exchange);
    this.record(exchange, 'answered', '', answer.status);
    const stored = answer.stored();
    this.handle({
      kind: 'upstream-answered',
      callId,
      status: answer.status,
      isShed: answer.verdict === 'overloaded',
      answer:
        stored === undefined
          ? undefined
          : {...stored, headers: headerRecord(answer.headers)},
    });
    if (answer.isHeldBack) {
      this.sendHead(exchange, answer, upstream);
    } else {
      exchange.handlers.onEnd();
    }
  }

  private sendHead(
    exchange: GuardExchange,
    answer: UpstreamAnswer,
    upstream: string,
  ): void {
    const now = this.dependencies.clock();
    answer.hasBegun = true;
    exchange.handlers.onAnswer({
      status: answer.status,
      headers: answer.headers,
      upstream,
      hint: this.dependencies.brain.hintOf(now, upstream),
      isUnframed: answer.isUnframed,
      ranMilliseconds: now - (exchange.sentAt ?? now),
      body: answer.isHeldBack ? answer.body() : undefined,
      hasMore: !answer.isHeldBack,
    });
  }

  private record(
    exchange: GuardExchange,
    outcome: GuardRecord['outcome'],
    reason: string,
    status: number,
  ): void {
    const {head, upstream, offeredAt, sentAt} = exchange;
    const now = this.dependencies.clock();
    this.dependencies.onEnded?.({
      head,
      upstream,
      outcome,
      reason,
      status,
      waitedMilliseconds: (sentAt ?? now) - offeredAt,
      ranMilliseconds: sentAt === undefined ? 0 : now - sentAt,
    });
  }

  private forget(exchange: GuardExchange): void {
    clearTimeout(exchange.timer);
    this.exchanges.delete(exchange.id);
  }
}

function requestBytes(head: CallHead): Buffer | null {
  return head.body === undefined || head.body.length === 0
    ? null
    : Buffer.from(head.body);
}

function guardCall(
  id: string,
  head: CallHead,
  now: number,
  deadline: number,
): GuardCall {
  const {usefulFor, terms} = head;
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
    onceKey: head.onceKey,
    requestDigest: head.requestDigest,
    usefulUntil: usefulFor === undefined ? undefined : now + usefulFor,
    needsGo: head.needsGo,
    mayWait: terms !== 'immediate',
    mayRunDoubted: terms === 'last-resort',
    expectedMilliseconds: head.expectedMilliseconds,
  };
}
