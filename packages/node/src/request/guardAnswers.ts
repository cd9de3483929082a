// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The answers that a guard forwards to slow readers. */

import type {GuardStateMachine} from '@lockpin/brain';
import type {Clock} from '@lockpin/types';
import {AnswerForwarder} from './answerForwarder.js';
import type {AnswerMemory} from './answerMemory.js';
import type {GuardExchange} from './guardExchange.js';
import {NOOP_HANDLERS} from './guardExchange.js';
import {reasonToCut} from './heldAnswer.js';
import type {CutReason, OnCut} from './heldAnswer.js';

/** Milliseconds between checks for answers to be cut off. */
const CHECK_MILLISECONDS = 100;

/** What the answers of a guard need. */
export interface GuardAnswersDependencies {
  readonly clock: Clock;
  readonly stateMachine: Pick<GuardStateMachine, 'hintOf'>;
  /** Absent where answers are not buffered for slow readers. */
  readonly answerMemory?: AnswerMemory | undefined;
  /** Calls back periodically; returns the function that stops it. */
  readonly every: (milliseconds: number, run: () => void) => () => void;
  /** Called when an answer is cut off because of its reader. */
  readonly onCut?: OnCut;
}

/** Creates the answers of a guard; undefined if it buffers none. */
export function createGuardAnswers(
  dependencies: GuardAnswersDependencies,
  endCall: (exchange: GuardExchange) => void,
): GuardAnswers | undefined {
  const {answerMemory} = dependencies;
  return answerMemory && new GuardAnswers(dependencies, answerMemory, endCall);
}

/** Forwards answers and cuts off those that slow readers keep for too long. */
export class GuardAnswers {
  private readonly forwarded = new Set<GuardExchange>();
  private stopChecking: (() => void) | undefined;

  constructor(
    private readonly dependencies: GuardAnswersDependencies,
    private readonly memory: AnswerMemory,
    /** Ends the call of an answer that is cut off, if it has not ended yet. */
    private readonly endCall: (exchange: GuardExchange) => void,
  ) {}

  /** Answers that have not been passed on completely. */
  get callCount(): number {
    return this.forwarded.size;
  }

  /** Starts to forward the answer of a call. */
  begin(exchange: GuardExchange): AnswerForwarder {
    const {clock, every} = this.dependencies;
    const forwarder = new AnswerForwarder({
      clock,
      memory: this.memory,
      customer: exchange.head.customer,
      handlers: () => exchange.handlers,
      readOn: () => exchange.readOn?.(),
      onClosed: () => this.closed(exchange),
    });
    exchange.forwarder = forwarder;
    this.forwarded.add(exchange);
    this.stopChecking ??= every(CHECK_MILLISECONDS, () => this.check());
    return forwarder;
  }

  private closed(exchange: GuardExchange): void {
    this.forwarded.delete(exchange);
    if (this.forwarded.size === 0) {
      this.stopChecking?.();
      this.stopChecking = undefined;
    }
  }

  private check(): void {
    const {clock, stateMachine} = this.dependencies;
    const now = clock();
    for (const exchange of [...this.forwarded]) {
      const {blockedSince, untakenSince} = exchange.forwarder ?? {};
      const hint =
        blockedSince === undefined
          ? undefined
          : stateMachine.hintOf(now, exchange.upstream);
      const reason = reasonToCut(now, {
        blockedSince,
        untakenSince,
        isSlotNeeded: hint !== undefined && hint.occupied >= hint.limit,
      });
      if (reason !== undefined) {
        this.cut(exchange, reason);
      }
    }
  }

  /** The entry sees the answer as interrupted, and so does the caller. */
  private cut(exchange: GuardExchange, reason: CutReason): void {
    const {handlers} = exchange;
    exchange.handlers = NOOP_HANDLERS;
    exchange.cutReason = reason;
    exchange.forwarder?.drop();
    this.endCall(exchange);
    handlers.onLost(true);
    this.dependencies.onCut?.(exchange.head, reason);
  }
}
