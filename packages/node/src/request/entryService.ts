// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The entry's side of a call: from the caller's request to its answer. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EntryAction, EntryEvent} from '@lockpin/brain';
import type {ServiceView} from '@lockpin/configuration';
import type {Admission} from '@lockpin/limits';
import type {Refusal} from '@lockpin/types';
import {AttemptCourse} from './attemptCourse.js';
import {CallAdmission, refusalFor} from './callAdmission.js';
import {HELD_BODY_BYTES} from './bodyLimits.js';
import {CallerExchange} from './callerExchange.js';
import {recordOf} from './callRecord.js';
import type {CallRecord} from './callStory.js';
import {CallReception} from './callReception.js';
import type {ReceivedCall} from './callReception.js';
import {digestOf, entryCall} from './entryCall.js';
import type {EntryServiceDependencies} from './entryServiceDependencies.js';
import {freshKeyHeader, mintKeyFor} from './freshOnceKeys.js';

export type {EntryServiceDependencies} from './entryServiceDependencies.js';

type GivenUp = EntryEvent & {readonly kind: 'given-up'};

/** Calls from callers, each until its answer or refusal. */
export class EntryService {
  private readonly exchanges = new Map<string, CallerExchange>();
  private readonly course: AttemptCourse;
  private readonly admission: CallAdmission;
  private readonly reception: CallReception;
  private serial = 0;

  constructor(private readonly dependencies: EntryServiceDependencies) {
    this.admission = new CallAdmission(dependencies);
    this.reception = new CallReception(dependencies, this.admission);
    this.course = new AttemptCourse({
      ...dependencies,
      tell: (event) => this.handle(event),
      onAnswerOver: (exchange) => this.ended(exchange),
    });
  }

  /** Calls that have no answer yet. */
  get callCount(): number {
    return this.exchanges.size;
  }

  /** Serves one request to its end. */
  async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const received = await this.reception.receive(request, response);
      if (received !== undefined) {
        this.arrived(received);
      }
    } catch (error) {
      // One call must not bring down the others; its caller sees it break.
      const detail = String((error as Error).stack);
      this.dependencies.logger.error('a call failed in lockpin', {detail});
      response.destroy();
    }
  }

  /**
   * The pool's word comes while guards are asked for a slot already; no guard is told
   * to go before it. Calls with a short goal do not have the time to wait for it first.
   */
  private async decide(
    exchange: CallerExchange,
    pending: Promise<Admission>,
  ): Promise<void> {
    const admission = await pending;
    if (!this.exchanges.has(exchange.id)) {
      void this.admission.giveBack(exchange.call, admission);
    } else if (admission.kind === 'admitted') {
      this.course.admitted(exchange);
    } else {
      this.course.cancel(exchange);
      this.refuse(exchange, refusalFor(admission));
    }
  }

  /** A key bound to the home of an upstream that takes calls now. */
  mintKey(view: ServiceView): string | undefined {
    return mintKeyFor(this.dependencies, view);
  }

  private arrived({arrived, pending}: ReceivedCall): void {
    const {protocol, mayBeRepeat} = this.dependencies;
    const {request, response, call, body, arrivedAt} = arrived;
    const digest = digestOf(request, call, body);
    this.serial += 1;
    const id = String(this.serial);
    const exchange = new CallerExchange(id, arrived, digest, protocol);
    this.exchanges.set(id, exchange);
    if (pending !== undefined) {
      exchange.isUndecided = true;
      void this.decide(exchange, pending);
    }
    response.on('close', () => this.closed(exchange));
    this.watchConnection(request, response, exchange);
    const deadline = arrivedAt + call.waitMilliseconds;
    this.watchDeadline(exchange);
    const bytes = body.kind === 'held' ? body.bytes.length : HELD_BODY_BYTES;
    this.handle({
      kind: 'call-arrived',
      call: entryCall(exchange, bytes, deadline, mayBeRepeat()),
    });
  }

  /**
   * The answer to a pipelined request has no connection of its own until its
   * turn comes, and is not told when the caller leaves.
   */
  private watchConnection(
    request: IncomingMessage,
    response: ServerResponse,
    exchange: CallerExchange,
  ): void {
    const {socket} = request;
    const left = (): void => this.closed(exchange);
    socket.setMaxListeners(0);
    socket.once('close', left);
    response.once('finish', () => socket.off('close', left));
  }

  /** Timers stood still while the clock went on: what is overdue ends now. */
  reviewDeadlines(): void {
    this.exchanges.forEach((exchange) => {
      clearTimeout(exchange.timer);
      this.watchDeadline(exchange);
    });
  }

  private watchDeadline(exchange: CallerExchange): void {
    const {arrivedAt, call} = exchange;
    const deadline = arrivedAt + call.waitMilliseconds;
    exchange.timer = setTimeout(
      () => this.giveUp(exchange, 'deadline-passed'),
      Math.max(0, deadline - this.dependencies.clock()),
    );
  }

  /**
   * The process ends before these calls do. Each gets its final answer, true as
   * far as is known here; a closed connection would leave its caller guessing.
   */
  giveUpAll(): void {
    [...this.exchanges.values()].forEach((exchange) =>
      this.giveUp(exchange, 'node-leaving'),
    );
  }

  /** No upstream is to run the request: what has not begun is refused at once. */
  requestQuarantined(digest: string): void {
    [...this.exchanges.values()]
      .filter(
        ({requestDigest, mayHaveBegun}) =>
          requestDigest === digest && !mayHaveBegun,
      )
      .forEach((exchange) => this.giveUp(exchange, 'request-quarantined'));
  }

  private giveUp(exchange: CallerExchange, reason: GivenUp['reason']): void {
    const wasSent = exchange.mayHaveBegun;
    this.course.noteEnd(exchange, reason);
    this.handle({kind: 'given-up', callId: exchange.id, reason, wasSent});
  }

  private handle(event: EntryEvent): void {
    const {brain, clock, random} = this.dependencies;
    for (const action of brain.handle(clock(), random, event)) {
      this.perform(action);
    }
  }

  private perform(action: EntryAction): void {
    const callId =
      action.kind === 'attempt' ? action.attempt.callId : action.callId;
    const exchange = this.exchanges.get(callId);
    if (exchange === undefined) {
      return;
    }
    switch (action.kind) {
      case 'attempt':
        this.course.attempt(exchange, action.attempt);
        break;
      case 'refuse':
        this.refuse(exchange, action.refusal);
        break;
      case 'pass-answer':
        this.passAnswer(exchange);
        break;
      case 'pass-spare-answer':
        this.course.cancel(exchange);
        exchange.heldAnswer = exchange.spareAnswer;
        this.passAnswer(exchange);
        break;
      case 'pause':
        this.course.pause(exchange, action.milliseconds);
        break;
      case 'keep-overdue':
        this.course.keepOverdue(exchange);
        break;
      case 'cancel-overdue':
        this.course.cancelOverdue(exchange);
        break;
      case 'pass-overdue-answer':
        this.course.takeOverdueAnswer(exchange);
        this.passAnswer(exchange);
        break;
      case 'cancel-attempt':
        this.course.cancel(exchange);
        break;
    }
  }

  private passAnswer(exchange: CallerExchange): void {
    const head = exchange.heldAnswer;
    if (head === undefined) {
      return;
    }
    const {metrics, clock} = this.dependencies;
    metrics.increment('calls.answered');
    metrics.timing('calls.milliseconds', exchange.age(clock()));
    exchange.heldAnswer = undefined;
    exchange.sendHead(head);
    this.record(exchange, 'answered', '');
    if (!head.hasMore) {
      this.ended(exchange);
    }
  }

  private record(
    exchange: CallerExchange,
    outcome: CallRecord['outcome'],
    reason: string,
  ): void {
    const milliseconds = exchange.age(this.dependencies.clock());
    this.dependencies.onEnded?.(
      recordOf(exchange, outcome, reason, milliseconds),
    );
  }

  private refuse(exchange: CallerExchange, refusal: Refusal): void {
    if (exchange.hasBegun) {
      exchange.breakOff();
      this.ended(exchange);
      return;
    }
    const fresh = freshKeyHeader(this.dependencies, exchange.call, refusal);
    exchange.refuse(refusal, fresh);
    this.note(exchange, refusal);
    this.ended(exchange);
  }

  private note(exchange: CallerExchange, refusal: Refusal): void {
    const {reason, outcome} = refusal;
    const {requestId, call} = exchange;
    this.record(exchange, outcome, reason);
    if (outcome === 'not-run' && !exchange.isUndecided) {
      this.admission.notRun(call);
    }
    this.dependencies.metrics.increment('calls.refused', {reason});
    this.dependencies.logger.debug('call refused', {
      requestId,
      reason,
      outcome,
      service: call.view.name,
    });
  }

  /** The caller left, or its answer is through. */
  private closed(exchange: CallerExchange): void {
    if (this.exchanges.has(exchange.id) && !exchange.isOver) {
      this.record(exchange, 'caller-left', 'caller-left');
      this.handle({kind: 'caller-left', callId: exchange.id});
      this.forget(exchange);
    }
  }

  private ended(exchange: CallerExchange): void {
    this.handle({kind: 'answer-ended', callId: exchange.id});
    this.forget(exchange);
  }

  private forget(exchange: CallerExchange): void {
    clearTimeout(exchange.timer);
    exchange.clearAttemptTimers();
    this.exchanges.delete(exchange.id);
  }
}
