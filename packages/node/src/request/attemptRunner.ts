// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Runs the attempts of a call: their timers and the replies of their guards.
 */

import type {Attempt, EntryEvent} from '@lockpin/brain';
import {FIRST_SERVER_ERROR_STATUS} from '@lockpin/utils';
import {CallAttempt} from './callAttempt.js';
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
    exchange.pause(milliseconds, () =>
      this.dependencies.handleEvent({
        kind: 'pause-ended',
        callId: exchange.id,
      }),
    );
  }

  /** Offers a call to the guard of a box. */
  attempt(exchange: CallerExchange, offer: Attempt): void {
    const {clock, stateMachine} = this.dependencies;
    const now = clock();
    const needsGo = this.needsGo(exchange, offer);
    // Only a guard in this process, or one that waits for the go signal,
    // reports reliably whether the call has started.
    const tellsStart = needsGo || this.dependencies.isOwnBox(offer.box);
    const head = exchange.head(now, offer, needsGo);
    const attempt = new CallAttempt({
      head,
      mayStartUnseen: !tellsStart || !exchange.isReplayable,
      overdueMilliseconds: offer.overdueMilliseconds,
    });
    exchange.beginAttempt(attempt);
    const known = stateMachine.loads.lastHint(offer.upstream ?? '', now);
    exchange.attemptHistory.recordOffer(
      exchange.age(clock()),
      offer,
      known && {state: known.hint.state, age: known.age},
      knownCapacity(now, stateMachine.knownCapacity(offer.upstream ?? '')),
    );
    if (needsGo) {
      this.awaitReply(exchange, attempt, offer);
    }
    // A guard in this process may refuse at once; the next attempt then begins
    // before this one has its exchange.
    const handlers = this.handlersFor(exchange, attempt);
    attempt.offered(this.dependencies.begin(offer.box, head, handlers));
  }

  /** The call may run: uses the slot that a guard has reserved for it. */
  admitted(exchange: CallerExchange): void {
    exchange.isAdmissionPending = false;
    const attempt = exchange.currentAttempt;
    if (attempt?.hasReservedSlot === true) {
      this.start(exchange, attempt);
    }
  }

  /** Cancels the current attempt; its later callbacks are ignored. */
  cancel(exchange: CallerExchange): void {
    const attempt = exchange.currentAttempt;
    exchange.endAttempt();
    attempt?.exchange?.cancel();
  }

  /** Keeps the current attempt running alongside the next one. */
  keepOverdueAttempt(exchange: CallerExchange): void {
    this.recordAttemptEnd(exchange, 'overdue');
    exchange.keepOverdueAttempt();
  }

  /** Cancels the overdue attempt that runs alongside the current one. */
  cancelOverdueAttempt(exchange: CallerExchange): void {
    exchange.dropOverdueAttempt()?.exchange?.cancel();
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

  private awaitReply(
    exchange: CallerExchange,
    attempt: CallAttempt,
    {box, acknowledgementTimeoutMilliseconds}: Attempt,
  ): void {
    const {onSilence, handleEvent} = this.dependencies;
    attempt.awaitReply(acknowledgementTimeoutMilliseconds, () => {
      this.recordAttemptEnd(exchange, 'guard-silent');
      onSilence?.(box);
      handleEvent({kind: 'attempt-unacknowledged', callId: exchange.id});
    });
  }

  /** The guard has reserved a slot for the call, or takes more of its body. */
  private continued(exchange: CallerExchange, attempt: CallAttempt): void {
    attempt.replied();
    if (attempt.hasStarted) {
      exchange.continueBody();
    } else if (exchange.isAdmissionPending) {
      attempt.reserve();
    } else {
      this.start(exchange, attempt);
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

  private start(exchange: CallerExchange, attempt: CallAttempt): void {
    if (attempt.awaitsGo && !this.mayStart(exchange)) {
      this.refuseUnstarted(exchange);
      return;
    }
    const {handleEvent} = this.dependencies;
    attempt.start(() =>
      handleEvent({kind: 'attempt-overdue', callId: exchange.id}),
    );
    exchange.continueBody();
  }

  private handlersFor(
    exchange: CallerExchange,
    attempt: CallAttempt,
  ): ExchangeHandlers {
    const ifCurrent = (act: () => void): void => {
      if (exchange.isCurrent(attempt)) {
        act();
      }
    };
    const ifOverdue = (act: () => void): void => {
      if (exchange.isOverdue(attempt)) {
        act();
      }
    };
    const overdueEnded = (): void =>
      ifOverdue(() => this.overdueEnded(exchange));
    return {
      onContinue: () => ifCurrent(() => this.continued(exchange, attempt)),
      onQueued: () => ifCurrent(() => attempt.replied()),
      onAnswer: (head) => {
        ifOverdue(() => this.overdueAnswered(exchange, head));
        ifCurrent(() => this.answered(exchange, head));
      },
      onChunk: (bytes) => this.chunk(exchange, attempt, bytes),
      onEnd: () => ifCurrent(() => this.answerEnded(exchange)),
      onRefusal: (refusal) => {
        overdueEnded();
        ifCurrent(() => this.refused(exchange, refusal));
      },
      onLost: (wasSent) => {
        overdueEnded();
        ifCurrent(() => this.lost(exchange, wasSent && attempt.mayHaveBegun));
      },
    };
  }

  private answerEnded(exchange: CallerExchange): void {
    exchange.answer.sendEnd();
    this.dependencies.onAnswerEnded(exchange);
  }

  private refused(
    exchange: CallerExchange,
    {refusal, upstream, hint, others}: RefusalFrame,
  ): void {
    const callId = exchange.id;
    exchange.clearTimers();
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
    exchange.answered(head);
    const {status, hint, others, ranMilliseconds} = head;
    const isWhole = !head.hasMore;
    exchange.clearTimers();
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
    const {id: callId} = exchange;
    if (head.hasMore) {
      this.cancelOverdueAttempt(exchange);
      this.dependencies.handleEvent({kind: 'overdue-ended', callId});
      return;
    }
    const {status, hint, others, ranMilliseconds} = head;
    if (status >= FIRST_SERVER_ERROR_STATUS) {
      exchange.dropOverdueAttempt();
    } else {
      exchange.overdueAnswered(head);
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
    exchange.dropOverdueAttempt();
    this.dependencies.handleEvent({kind: 'overdue-ended', callId: exchange.id});
  }

  private chunk(
    exchange: CallerExchange,
    attempt: CallAttempt,
    bytes: Buffer,
  ): boolean {
    if (!exchange.isCurrent(attempt)) {
      return true;
    }
    const hasRoom = exchange.answer.sendChunk(bytes);
    if (!hasRoom) {
      this.dependencies.onUnsent(exchange);
      exchange.answer.onDrain(() => attempt.exchange?.resume());
    }
    return hasRoom;
  }

  private lost(exchange: CallerExchange, wasSent: boolean): void {
    if (exchange.answer.hasBegun) {
      exchange.answer.destroy();
      this.dependencies.onAnswerEnded(exchange);
      return;
    }
    exchange.clearTimers();
    this.recordAttemptEnd(exchange, 'guard-lost');
    this.dependencies.handleEvent({
      kind: 'attempt-lost',
      callId: exchange.id,
      wasSent,
    });
  }
}
