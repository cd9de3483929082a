// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The guard's side of an exchange, from the offer to the upstream's answer. */

import type {GuardAction, GuardStateMachine, GuardEvent} from '@lockpin/brain';
import type {StoredAnswer} from '@lockpin/once';
import type {Clock, RandomSource} from '@lockpin/types';
import type {UpstreamPools} from '../connection/upstreamPools.js';
import type {Exchange, ExchangeHandlers} from './exchange.js';
import type {CallHead} from './frames.js';
import {guardCall, NOOP_HANDLERS} from './guardExchange.js';
import type {GuardExchange} from './guardExchange.js';
import type {GuardRecord} from './guardRecord.js';
import {UpstreamDispatch} from './upstreamDispatch.js';
import type {UpstreamProtocol} from './upstreamProtocol.js';

/** The guard gives up this much before the entry, so that its reply arrives. */
const HOP_ALLOWANCE_MILLISECONDS = 5;

/**
 * Milliseconds between ticks while calls are active. That is frequent enough,
 * as reservations expire after 250 ms and hanging is detected after several
 * hundred. Each tick wakes the process, and at a few calls per second one is
 * always active.
 */
const BUSY_TICK_MILLISECONDS = 50;

/** Calls with this much time or less get no allowance. */
const SHORT_CALL_MILLISECONDS = 50;

/** What the guard service needs from its process. */
export interface GuardServiceDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly stateMachine: GuardStateMachine;
  readonly pools: UpstreamPools;
  readonly protocol?: UpstreamProtocol;
  /** Called at the end of every call. */
  readonly onEnded?: (record: GuardRecord) => void;
  /** Calls back periodically; returns the function that stops it. */
  readonly every: (milliseconds: number, run: () => void) => () => void;
  /** Performs the actions that do not concern one exchange. */
  readonly onNodeAction: (action: GuardNodeAction) => void;
}

/** What a refusal was based on. */
type RefusalCause = Partial<
  Pick<GuardRecord, 'doubtReason' | 'limit' | 'shortage'>
>;

/** Guard actions that are not addressed to the caller of an exchange. */
export type GuardNodeAction = GuardAction & {
  readonly kind:
    | 'report'
    | 'timeline'
    | 'standing'
    | 'upstream-crashed'
    | 'upstream-leaving';
};

/** Passes calls to the guard's decision logic and performs its actions. */
export class GuardService {
  private readonly exchanges = new Map<string, GuardExchange>();
  private readonly dispatch: UpstreamDispatch;
  private serial = 0;
  private stopTicking: (() => void) | undefined;

  constructor(private readonly dependencies: GuardServiceDependencies) {
    this.dispatch = new UpstreamDispatch({
      ...dependencies,
      handleEvent: (event) => this.handle(event),
      isUnderWay: ({id}) => this.exchanges.has(id),
      onAnswered: (exchange, status) => this.answered(exchange, status),
    });
  }

  /** Calls that have not ended. */
  get callCount(): number {
    return this.exchanges.size;
  }

  /** Passes an event to the decision logic and performs its actions. */
  handle(event: GuardEvent): void {
    const {stateMachine, clock, random} = this.dependencies;
    for (const action of stateMachine.handle(clock(), random, event)) {
      this.perform(action);
    }
  }

  /** Starts an exchange; each ends in an answer, a refusal or a loss. */
  begin(head: CallHead, handlers: ExchangeHandlers): Exchange {
    const timeoutMilliseconds = guardTimeout(head);
    const now = this.dependencies.clock();
    const exchange = this.createExchange(
      head,
      handlers,
      now,
      timeoutMilliseconds,
    );
    this.exchanges.set(exchange.id, exchange);
    this.stopTicking ??= this.dependencies.every(BUSY_TICK_MILLISECONDS, () =>
      this.busyTick(),
    );
    this.handle({
      kind: 'call-offered',
      call: guardCall(exchange.id, head, now, now + timeoutMilliseconds),
    });
    return this.controls(exchange);
  }

  private createExchange(
    head: CallHead,
    handlers: ExchangeHandlers,
    now: number,
    timeoutMilliseconds: number,
  ): GuardExchange {
    this.serial += 1;
    const exchange: GuardExchange = {
      id: String(this.serial),
      head,
      handlers,
      deadlineTimer: undefined,
      offeredAt: now,
      giveUpAt: now + timeoutMilliseconds,
      deadline: now + head.remaining,
      upstream: head.upstream ?? '',
      sentAt: undefined,
      controller: undefined,
      requestBody: undefined,
      isAborted: false,
      answer: undefined,
      notice: undefined,
    };
    this.startDeadlineTimer(exchange, now);
    return exchange;
  }

  /**
   * Restarts all deadline timers after a suspension of the machine, during
   * which the clock advances and timers do not; overdue calls end at once.
   */
  restartDeadlineTimers(): void {
    const now = this.dependencies.clock();
    this.exchanges.forEach((exchange) => {
      clearTimeout(exchange.deadlineTimer);
      this.startDeadlineTimer(exchange, now);
    });
  }

  private startDeadlineTimer(exchange: GuardExchange, now: number): void {
    const callId = exchange.id;
    exchange.deadlineTimer = setTimeout(
      () => this.handle({kind: 'call-deadline-passed', callId}),
      Math.max(0, exchange.giveUpAt - now),
    );
  }

  /** Lets the decision logic check deadlines and slow calls. */
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
        const {requestDigest} = request;
        this.handle({kind: 'call-go', callId: exchange.id, requestDigest});
      },
      resume: () => exchange.controller?.resume(),
      cancel: () => {
        exchange.handlers = NOOP_HANDLERS;
        exchange.controller?.resume();
        this.handle({kind: 'call-cancelled', callId: exchange.id});
      },
    };
  }

  private perform(action: GuardAction): void {
    if (action.kind === 'check-upstream') {
      this.inspectUpstream(action);
      return;
    }
    if (!('callId' in action)) {
      this.dependencies.onNodeAction(action);
      return;
    }
    const exchange = this.exchanges.get(action.callId);
    if (exchange === undefined) {
      return;
    }
    switch (action.kind) {
      case 'run':
        this.dispatch.run(exchange, action.upstream);
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
        this.dispatch.abort(exchange);
        break;
    }
  }

  private inspectUpstream({
    upstream,
    incarnation,
  }: GuardAction & {readonly kind: 'check-upstream'}): void {
    this.dependencies.pools.checkAddress(upstream, (addressState) =>
      this.handle({
        kind: 'upstream-checked',
        upstream,
        incarnation,
        addressState,
      }),
    );
  }

  private refuse(
    exchange: GuardExchange,
    action: GuardAction & {readonly kind: 'refuse'},
  ): void {
    this.remove(exchange);
    const {reason, outcome} = action.refusal;
    const {doubtReason, limit, shortage} = action;
    const wasCancelled = exchange.handlers === NOOP_HANDLERS;
    exchange.upstream = action.upstream;
    this.recordEnd(exchange, wasCancelled ? 'cancelled' : outcome, reason, 0, {
      doubtReason,
      limit,
      shortage,
    });
    if (exchange.answer?.hasBegun) {
      exchange.handlers.onLost(true);
      return;
    }
    const {refusal, upstream, hint} = action;
    exchange.handlers.onRefusal({refusal, upstream, hint});
  }

  private answerStored(exchange: GuardExchange, answer: StoredAnswer): void {
    this.remove(exchange);
    this.recordEnd(exchange, 'answered', 'stored', answer.status);
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

  private answered(exchange: GuardExchange, status: number): void {
    this.remove(exchange);
    this.recordEnd(exchange, 'answered', '', status);
  }

  private recordEnd(
    exchange: GuardExchange,
    outcome: GuardRecord['outcome'],
    reason: string,
    status: number,
    cause: RefusalCause = {},
  ): void {
    const {head, upstream, offeredAt, sentAt, notice} = exchange;
    const now = this.dependencies.clock();
    this.dependencies.onEnded?.({
      head,
      upstream,
      outcome,
      reason,
      doubtReason: cause.doubtReason,
      limit: cause.limit,
      limits: this.dependencies.stateMachine.limitsOf(now, upstream),
      shortage: cause.shortage,
      status,
      notice,
      waitedMilliseconds: (sentAt ?? now) - offeredAt,
      ranMilliseconds: sentAt === undefined ? 0 : now - sentAt,
    });
  }

  private remove(exchange: GuardExchange): void {
    clearTimeout(exchange.deadlineTimer);
    this.exchanges.delete(exchange.id);
  }
}

/** How long the guard keeps an unfinished call, in milliseconds. */
function guardTimeout({remaining}: CallHead): number {
  const allowance =
    remaining > SHORT_CALL_MILLISECONDS ? HOP_ALLOWANCE_MILLISECONDS : 0;
  return Math.max(0, remaining - allowance);
}
