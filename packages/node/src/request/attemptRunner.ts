// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Runs the attempts of a call: their timers and the replies of their guards.
 */

import type {Attempt, EntryEvent} from '@lockpin/brain';
import {FIRST_SERVER_ERROR_STATUS} from '@lockpin/utils';
import type {CallerExchange} from './callerExchange.js';
import type {EntryServiceDependencies} from './entryServiceDependencies.js';
import type {ExchangeHandlers} from './exchange.js';
import {knownCapacity} from './knownCapacity.js';
import type {AnswerHead, RefusalFrame} from './frames.js';

/** What the attempt runner needs from the entry service. */
export interface AttemptRunnerDependencies extends Pick<
  EntryServiceDependencies,
  'clock' | 'stateMachine' | 'isOwnBox' | 'needsGo' | 'onSilence' | 'begin'
> {
  /** Passes an event to the decision logic and performs its actions. */
  readonly handleEvent: (event: EntryEvent) => void;
  /** The answer was passed on completely, or was interrupted on the way. */
  readonly onAnswerEnded: (exchange: CallerExchange) => void;
  /** The caller has not taken all that was written to it. */
  readonly onUnsent: (exchange: CallerExchange) => void;
}

/** Makes the attempts of calls and reports their results as events. */
export class AttemptRunner {
  constructor(private readonly dependencies: AttemptRunnerDependencies) {}

  /** Delays the next round of attempts. */
  pause(exchange: CallerExchange, milliseconds: number): void {
    exchange.attemptSerial += 1;
    exchange.exchange = undefined;
    exchange.hasReservedSlot = false;
    exchange.mayHaveBegun = false;
    exchange.clearAttemptTimers();
    exchange.silenceTimer = setTimeout(
      () =>
        this.dependencies.handleEvent({
          kind: 'pause-ended',
          callId: exchange.id,
        }),
      milliseconds,
    );
  }

  /** Offers a call to the guard of a box. */
  attempt(exchange: CallerExchange, attempt: Attempt): void {
    exchange.attemptSerial += 1;
    exchange.fallbackAnswer = exchange.pendingAnswer ?? exchange.fallbackAnswer;
    exchange.pendingAnswer = undefined;
    const {clock, stateMachine} = this.dependencies;
    const now = clock();
    const needsGo = this.needsGo(exchange, attempt);
    const head = exchange.head(now, attempt, needsGo);
    const known = stateMachine.loads.lastHint(attempt.upstream ?? '', now);
    exchange.attemptHistory.recordOffer(
      exchange.age(clock()),
      attempt,
      known && {state: known.hint.state, age: known.age},
      knownCapacity(now, stateMachine.knownCapacity(attempt.upstream ?? '')),
    );
    exchange.isGoSent = !needsGo;
    exchange.hasReservedSlot = false;
    // Only a guard in this process, or one that waits for the go signal,
    // reports reliably whether the call has started.
    const tellsStart = needsGo || this.dependencies.isOwnBox(attempt.box);
    exchange.mayHaveBegun = !tellsStart || !exchange.isReplayable;
    this.setAttemptTimers(exchange, attempt, needsGo);
    const serial = exchange.attemptSerial;
    const handlers = this.handlersFor(exchange, serial);
    const begun = this.dependencies.begin(attempt.box, head, handlers);
    // A guard in this process may already have refused, and the next attempt
    // may have started.
    if (exchange.attemptSerial === serial) {
      exchange.exchange = begun;
    }
  }

  /** The call may run: uses the slot that a guard has reserved for it. */
  admitted(exchange: CallerExchange): void {
    exchange.isAdmissionPending = false;
    if (exchange.hasReservedSlot) {
      exchange.hasReservedSlot = false;
      this.slotReserved(exchange);
    }
  }

  /** Cancels the current attempt; its later callbacks are ignored. */
  cancel(exchange: CallerExchange): void {
    exchange.attemptSerial += 1;
    exchange.hasReservedSlot = false;
    exchange.clearAttemptTimers();
    exchange.exchange?.cancel();
    exchange.exchange = undefined;
  }

  /** Keeps the current attempt running alongside the next one. */
  keepOverdueAttempt(exchange: CallerExchange): void {
    this.recordAttemptEnd(exchange, 'overdue');
    exchange.overdue = {
      serial: exchange.attemptSerial,
      exchange: exchange.exchange,
      answer: undefined,
    };
  }

  /** Cancels the overdue attempt that runs alongside the current one. */
  cancelOverdueAttempt(exchange: CallerExchange): void {
    exchange.overdue?.exchange?.cancel();
    exchange.overdue = undefined;
  }

  /** Makes the answer of the overdue attempt the one to pass on. */
  takeOverdueAnswer(exchange: CallerExchange): void {
    exchange.pendingAnswer = exchange.overdue?.answer;
    exchange.overdue = undefined;
  }

  /** Records in the call's history how the current attempt ended. */
  recordAttemptEnd(exchange: CallerExchange, end: string): void {
    exchange.attemptHistory.recordEnd(
      exchange.age(this.dependencies.clock()),
      end,
    );
  }

  private needsGo(exchange: CallerExchange, {box}: Attempt): boolean {
    const {repetition} = exchange.call.route.spec;
    const isAsked =
      exchange.isAdmissionPending || this.dependencies.needsGo(box, repetition);
    return exchange.isReplayable && isAsked;
  }

  private setAttemptTimers(
    exchange: CallerExchange,
    {box, overdueMilliseconds, acknowledgementTimeoutMilliseconds}: Attempt,
    needsGo: boolean,
  ): void {
    const {onSilence} = this.dependencies;
    const callId = exchange.id;
    exchange.clearAttemptTimers();
    if (needsGo) {
      exchange.silenceTimer = setTimeout(() => {
        this.recordAttemptEnd(exchange, 'guard-silent');
        onSilence?.(box);
        this.dependencies.handleEvent({kind: 'attempt-unacknowledged', callId});
      }, acknowledgementTimeoutMilliseconds);
    }
    exchange.overdueMilliseconds = overdueMilliseconds;
  }

  /** Starts when the slot is reserved: queueing at the guard does not count. */
  private startOverdueTimer(exchange: CallerExchange): void {
    const {id: callId, overdueMilliseconds} = exchange;
    if (overdueMilliseconds !== undefined) {
      exchange.overdueTimer = setTimeout(
        () => this.dependencies.handleEvent({kind: 'attempt-overdue', callId}),
        overdueMilliseconds,
      );
    }
  }

  /** Whether a call that runs nowhere can still end before this node stops. */
  mayStart({id}: CallerExchange): boolean {
    const {clock, stateMachine} = this.dependencies;
    return stateMachine.mayStart(clock(), id);
  }

  /** Refuses a call that runs nowhere and comes too late for this node's stop. */
  refuseUnstarted(exchange: CallerExchange): void {
    const reason = 'node-leaving';
    this.recordAttemptEnd(exchange, reason);
    this.dependencies.handleEvent({
      kind: 'call-aborted',
      callId: exchange.id,
      reason,
      wasSent: false,
    });
  }

  /** The guard has reserved a slot for the call. */
  private slotReserved(exchange: CallerExchange): void {
    clearTimeout(exchange.silenceTimer);
    if (exchange.isAdmissionPending) {
      exchange.hasReservedSlot = true;
      return;
    }
    if (!exchange.isGoSent && !this.mayStart(exchange)) {
      this.refuseUnstarted(exchange);
      return;
    }
    exchange.mayHaveBegun = true;
    this.startOverdueTimer(exchange);
    if (exchange.isGoSent) {
      exchange.streamBody();
      return;
    }
    exchange.isGoSent = true;
    exchange.go();
  }

  private handlersFor(
    exchange: CallerExchange,
    serial: number,
  ): ExchangeHandlers {
    const isCurrent = (): boolean =>
      exchange.attemptSerial === serial && !exchange.isOver;
    const ifCurrent = (act: () => void): void => {
      if (isCurrent()) {
        act();
      }
    };
    const ifOverdue = (act: () => void): void => {
      if (exchange.overdue?.serial === serial && !exchange.isOver) {
        act();
      }
    };
    const overdueEnded = (): void =>
      ifOverdue(() => this.overdueEnded(exchange));
    return {
      onContinue: () => ifCurrent(() => this.slotReserved(exchange)),
      onQueued: () => ifCurrent(() => clearTimeout(exchange.silenceTimer)),
      onAnswer: (head) => {
        ifOverdue(() => this.overdueAnswered(exchange, head));
        ifCurrent(() => this.answered(exchange, head));
      },
      onChunk: (bytes) => this.chunk(exchange, isCurrent(), bytes),
      onEnd: () => ifCurrent(() => this.answerEnded(exchange)),
      onRefusal: (refusal) => {
        overdueEnded();
        ifCurrent(() => this.refused(exchange, refusal));
      },
      onLost: (wasSent) => {
        overdueEnded();
        ifCurrent(() => this.lost(exchange, wasSent && exchange.mayHaveBegun));
      },
    };
  }

  private answerEnded(exchange: CallerExchange): void {
    exchange.sendEnd();
    this.dependencies.onAnswerEnded(exchange);
  }

  private refused(
    exchange: CallerExchange,
    {refusal, upstream, hint, others}: RefusalFrame,
  ): void {
    const callId = exchange.id;
    exchange.clearAttemptTimers();
    this.recordAttemptEnd(exchange, refusal.reason);
    this.dependencies.handleEvent({
      kind: 'attempt-refused',
      callId,
      refusal,
      upstream,
      hint,
      others,
    });
  }

  private answered(exchange: CallerExchange, head: AnswerHead): void {
    const callId = exchange.id;
    exchange.pendingAnswer = head;
    const {status, hint, others, ranMilliseconds} = head;
    const isWhole = !head.hasMore;
    exchange.clearAttemptTimers();
    this.recordAttemptEnd(exchange, String(status));
    this.dependencies.handleEvent({
      kind: 'attempt-answered',
      callId,
      status,
      isWhole,
      hint,
      others,
      ranMilliseconds,
    });
  }

  /**
   * Only a complete answer can replace another; a streamed one is cancelled.
   */
  private overdueAnswered(exchange: CallerExchange, head: AnswerHead): void {
    const {id: callId, overdue} = exchange;
    if (overdue === undefined || head.hasMore) {
      overdue?.exchange?.cancel();
      this.overdueEnded(exchange);
      return;
    }
    const {status, hint, others, ranMilliseconds} = head;
    overdue.answer = head;
    if (status >= FIRST_SERVER_ERROR_STATUS) {
      exchange.overdue = undefined;
    }
    this.dependencies.handleEvent({
      kind: 'overdue-answered',
      callId,
      status,
      hint,
      others,
      ranMilliseconds,
    });
  }

  private overdueEnded(exchange: CallerExchange): void {
    exchange.overdue = undefined;
    this.dependencies.handleEvent({kind: 'overdue-ended', callId: exchange.id});
  }

  private chunk(
    exchange: CallerExchange,
    isCurrent: boolean,
    bytes: Buffer,
  ): boolean {
    if (!isCurrent) {
      return true;
    }
    const hasRoom = exchange.sendChunk(bytes);
    if (!hasRoom) {
      this.dependencies.onUnsent(exchange);
      exchange.onDrain(() => exchange.exchange?.resume());
    }
    return hasRoom;
  }

  private lost(exchange: CallerExchange, wasSent: boolean): void {
    if (exchange.hasBegun) {
      exchange.destroyResponse();
      this.dependencies.onAnswerEnded(exchange);
      return;
    }
    exchange.clearAttemptTimers();
    this.recordAttemptEnd(exchange, 'guard-lost');
    this.dependencies.handleEvent({
      kind: 'attempt-lost',
      callId: exchange.id,
      wasSent,
    });
  }
}
