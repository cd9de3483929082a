// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The guard's side of an exchange, from the offer to the upstream's answer. */

import type {GuardAction, GuardStateMachine, GuardEvent} from '@lockpin/brain';
import type {StoredAnswer} from '@lockpin/once';
import type {Clock, RandomSource} from '@lockpin/types';
import type {UpstreamPools} from '../connection/upstreamPools.js';
import type {AnswerMemory} from './answerMemory.js';
import type {Exchange, ExchangeHandlers} from './exchange.js';
import type {CallHead} from './frames.js';
import {createGuardAnswers} from './guardAnswers.js';
import type {GuardAnswers} from './guardAnswers.js';
import {
  createGuardExchange,
  guardCall,
  NOOP_HANDLERS,
} from './guardExchange.js';
import type {GuardExchange} from './guardExchange.js';
import type {GuardRecord} from './guardRecord.js';
import type {OnCut} from './heldAnswer.js';
import {UpstreamDispatch} from './upstreamDispatch.js';
import type {UpstreamProtocol} from './upstreamProtocol.js';

/**
 * Milliseconds between ticks while calls are active. That is frequent enough,
 * as reservations expire after 250 ms and hanging is detected after several
 * hundred. Each tick wakes the process, and at a few calls per second one is
 * always active.
 */
const BUSY_TICK_MILLISECONDS = 50;

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
  /**
   * Memory for answers whose callers read slowly; absent where answers are read
   * from upstreams only as fast as their callers read them.
   */
  readonly answerMemory?: AnswerMemory | undefined;
  /** Called when an answer is cut off because of its reader. */
  readonly onCut?: OnCut;
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
  private readonly answers: GuardAnswers | undefined;
  private serial = 0;
  private stopTicking: (() => void) | undefined;

  constructor(private readonly dependencies: GuardServiceDependencies) {
    this.answers = createGuardAnswers(dependencies, ({id}) =>
      this.handle({kind: 'call-cancelled', callId: id}),
    );
    this.dispatch = new UpstreamDispatch({
      ...dependencies,
      answers: this.answers,
      handleEvent: (event) => this.handle(event),
      isUnderWay: ({id}) => this.exchanges.has(id),
      onAnswered: (exchange, status) => this.answered(exchange, status),
    });
  }

  /** Calls that have not ended. */
  get callCount(): number {
    return this.exchanges.size;
  }

  /** Answers that have not been passed on completely. */
  get unreadAnswerCount(): number {
    return this.answers?.callCount ?? 0;
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
    const now = this.dependencies.clock();
    this.serial += 1;
    const id = String(this.serial);
    const exchange = createGuardExchange(id, head, handlers, now);
    this.startDeadlineTimer(exchange, now);
    this.exchanges.set(exchange.id, exchange);
    this.stopTicking ??= this.dependencies.every(BUSY_TICK_MILLISECONDS, () =>
      this.busyTick(),
    );
    this.handle({
      kind: 'call-offered',
      call: guardCall(id, head, now, exchange.giveUpAt),
    });
    return this.controls(exchange);
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
      sendChunk: (bytes) => sendBody(exchange, bytes),
      sendEnd: () => void sendBody(exchange, null),
      go: (request) => {
        exchange.head = {...exchange.head, ...request};
        const {requestDigest} = request;
        this.handle({kind: 'call-go', callId: exchange.id, requestDigest});
      },
      resume: () =>
        exchange.forwarder === undefined
          ? exchange.readOn?.()
          : exchange.forwarder.resume(),
      cancel: () => {
        exchange.handlers = NOOP_HANDLERS;
        exchange.forwarder?.drop();
        exchange.readOn?.();
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
    const {cutReason} = exchange;
    const wasCancelled =
      exchange.handlers === NOOP_HANDLERS && cutReason === undefined;
    exchange.upstream = action.upstream;
    const end = wasCancelled ? 'cancelled' : outcome;
    this.recordEnd(exchange, end, cutReason ?? reason, 0, {
      doubtReason,
      limit,
      shortage,
    });
    exchange.forwarder?.drop();
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
    const {head, upstream, offeredAt, sentAt, notice, forwarder} = exchange;
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
      unreadBytes: forwarder?.bytes,
      failure: outcome === 'answered' ? undefined : exchange.failure,
      blockedMilliseconds: forwarder?.blockedMilliseconds,
    });
  }

  private remove(exchange: GuardExchange): void {
    clearTimeout(exchange.deadlineTimer);
    this.exchanges.delete(exchange.id);
  }
}

/**
 * Sends a part of a body; false to pause. The upstream of a body that is no
 * longer sent will ask for nothing, so that what follows is dropped.
 */
function sendBody({requestBody}: GuardExchange, bytes: Buffer | null): boolean {
  const isTaken = requestBody !== undefined && !requestBody.destroyed;
  return isTaken ? requestBody.push(bytes) : true;
}
