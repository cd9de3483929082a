// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Ends calls at their deadlines, except those whose answers progress. */

import type {Clock} from '@lockpin/types';
import type {CallerExchange} from './callerExchange.js';

/**
 * Milliseconds between checks of an answer that is late. One of which no part
 * arrives for as long, though its caller takes more, is cut off. With 1 s, a soak
 * on a busy machine cut off answers that still arrived.
 */
const LATE_CHECK_MILLISECONDS = 5000;

/** What the deadlines need from the entry service. */
export interface CallDeadlinesDependencies {
  readonly clock: Clock;
  /** Whether answers that have begun are delivered although they are late. */
  readonly deliversLate: boolean;
  readonly onPassed: (exchange: CallerExchange) => void;
}

/** The deadline timers of an entry's calls. */
export class CallDeadlines {
  constructor(private readonly dependencies: CallDeadlinesDependencies) {}

  /** Starts the timer of a call, or restarts it. */
  start(exchange: CallerExchange): void {
    const {arrivedAt, call} = exchange;
    const deadline = arrivedAt + call.waitMilliseconds;
    const remaining = deadline - this.dependencies.clock();
    this.schedule(exchange, Math.max(0, remaining));
  }

  private schedule(exchange: CallerExchange, milliseconds: number): void {
    clearTimeout(exchange.deadlineTimer);
    exchange.deadlineTimer = setTimeout(
      () => this.passed(exchange),
      milliseconds,
    );
  }

  private passed(exchange: CallerExchange): void {
    const {deliversLate, onPassed} = this.dependencies;
    if (deliversLate && exchange.takeProgress()) {
      this.schedule(exchange, LATE_CHECK_MILLISECONDS);
    } else {
      onPassed(exchange);
    }
  }
}
