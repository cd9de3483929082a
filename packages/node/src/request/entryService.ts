// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The entry's side of a call, from the caller's request to its answer. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EntryAction, EntryEvent, PlannedStop} from '@lockpin/brain';
import type {ServiceView} from '@lockpin/configuration';
import type {Admission} from '@lockpin/limits';
import type {Refusal} from '@lockpin/types';
import {AttemptRunner} from './attemptRunner.js';
import {CallerConnections} from './callerConnections.js';
import {CallAdmission, refusalFor} from './callAdmission.js';
import {BODY_BUFFER_LIMIT_BYTES} from './bodyLimits.js';
import {CallDeadlines} from './callDeadlines.js';
import {CallerExchange} from './callerExchange.js';
import {CloseDelimitedAnswers} from './closeDelimitedAnswers.js';
import {createCallRecord} from './callRecord.js';
import type {CallRecord} from './attemptHistory.js';
import {CallReceiver} from './callReceiver.js';
import type {ReceivedCall} from './callReceiver.js';
import {ConnectionTurns} from './connectionTurns.js';
import type {Turn} from './connectionTurns.js';
import {refuseRequest} from './earlyRefusals.js';
import type {RefusedRequest} from './earlyRefusals.js';
import {computeRequestDigest, entryCall} from './entryCall.js';
import type {EntryServiceDependencies} from './entryServiceDependencies.js';
import {FinishingAnswers} from './finishingAnswers.js';
import {freshKeyHeader, mintOnceKeyFor} from './freshOnceKeys.js';
import {countGivenUp, nothingGivenUp} from './givenUpCalls.js';
import type {GivenUpCalls} from './givenUpCalls.js';
import {RouteAnswers} from './routeAnswers.js';
import {UnsentAnswers} from './unsentAnswers.js';

export type {EntryServiceDependencies} from './entryServiceDependencies.js';

type GivenUpEvent = EntryEvent & {readonly kind: 'call-aborted'};

/** Serves callers' calls, each until its answer or refusal. */
export class EntryService {
  private readonly exchanges = new Map<string, CallerExchange>();
  private readonly turns = new ConnectionTurns();
  private readonly routeAnswers = new RouteAnswers();
  private readonly closeDelimited = new CloseDelimitedAnswers();
  private readonly finishing = new FinishingAnswers();
  private readonly attempts: AttemptRunner;
  private readonly admission: CallAdmission;
  private readonly receiver: CallReceiver;
  private readonly deadlines: CallDeadlines;
  private readonly unsent: UnsentAnswers | undefined;
  /** Requests that are being read. */
  private readonly receiving = new Set<Required<RefusedRequest>>();
  private readonly connections = new CallerConnections();
  /** Counted while all calls are ended; see endAllCalls. */
  private readonly givenUp = nothingGivenUp();
  private isStopping = false;
  private serial = 0;

  constructor(private readonly dependencies: EntryServiceDependencies) {
    this.admission = new CallAdmission(dependencies);
    this.receiver = new CallReceiver(
      dependencies,
      this.admission,
      this.connections,
    );
    const {clock, answerMemory, onCut} = dependencies;
    this.deadlines = new CallDeadlines({
      clock,
      deliversLate: answerMemory !== undefined,
      onPassed: (exchange) => this.deadlinePassed(exchange),
    });
    this.unsent = answerMemory && new UnsentAnswers(answerMemory, onCut);
    this.attempts = new AttemptRunner({
      ...dependencies,
      onUnsent: (exchange) => this.countUnsent(exchange),
      handleEvent: (event) => this.handle(event),
      onAnswerEnded: (exchange) => this.ended(exchange),
    });
  }

  /** Calls that have no answer yet, or whose callers have not been sent all. */
  get callCount(): number {
    const {exchanges, receiving, finishing} = this;
    return exchanges.size + receiving.size + finishing.callCount;
  }

  /** Answers that have ended, but that their callers have not been sent. */
  get unsentCount(): number {
    return this.finishing.callCount;
  }

  /** Serves one request to its end, once it may be. */
  serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const arrivedAt = this.dependencies.clock();
    return new Promise((resolve) =>
      this.turns.enter(request.socket, (turn) =>
        resolve(this.serveInTurn(request, response, arrivedAt, turn)),
      ),
    );
  }

  private async serveInTurn(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAt: number,
    turn: Turn,
  ): Promise<void> {
    if (!this.connections.received(request, response)) {
      request.resume();
      turn.settled();
      return;
    }
    const requestId = this.dependencies.protocol.requestId(request);
    const unread: Required<RefusedRequest> = {request, response, requestId};
    this.receiving.add(unread);
    try {
      const received = await this.receiver.receive(
        request,
        response,
        arrivedAt,
      );
      // It was refused meanwhile if the stop limit came first.
      if (received === undefined || response.writableEnded) {
        turn.settled();
      } else {
        const {route} = received.arrived.call;
        this.startCall(received, turn);
        turn.started(this.routeAnswers.mayBreakOff(route.name));
      }
    } catch (error) {
      turn.settled();
      // An internal error ends only this call: its connection is closed.
      const detail = String((error as Error).stack);
      this.dependencies.logger.error(
        'internal error while serving a call; closing its connection',
        {detail},
      );
      response.destroy();
    } finally {
      this.receiving.delete(unread);
    }
  }

  /**
   * Applies the admission decision. Guards are offered the call while the
   * decision is pending, because calls with a short latency goal cannot wait
   * for it first, but no guard gets the go signal before it.
   */
  private async applyAdmission(
    exchange: CallerExchange,
    pending: Promise<Admission>,
  ): Promise<void> {
    const admission = await pending;
    if (!this.exchanges.has(exchange.id)) {
      void this.admission.returnToken(exchange.call, admission);
    } else if (admission.kind === 'admitted') {
      this.attempts.admitted(exchange);
    } else {
      this.attempts.cancel(exchange);
      this.refuse(exchange, refusalFor(admission));
    }
  }

  /** Mints a key bound to the home of an upstream that accepts calls now. */
  mintKey(view: ServiceView): string | undefined {
    return mintOnceKeyFor(this.dependencies, view);
  }

  private startCall({arrived, pending}: ReceivedCall, turn: Turn): void {
    const {protocol, mayBeRepeat} = this.dependencies;
    const {request, response, call, body, arrivedAt} = arrived;
    const digest = computeRequestDigest(request, call, body);
    this.serial += 1;
    const id = String(this.serial);
    const exchange = new CallerExchange(id, arrived, digest, {
      protocol,
      turn,
      onCloseDelimited: (answer) => this.closeDelimited.add(answer),
      onBodyBegun: (callId) => this.handle({kind: 'body-begun', callId}),
      largestBodyBytes: this.dependencies.largestBodyBytes(),
      onBodyTooLarge: (callId) => this.refuseTooLarge(callId),
    });
    this.exchanges.set(id, exchange);
    if (pending !== undefined) {
      exchange.isAdmissionPending = true;
      void this.applyAdmission(exchange, pending);
    }
    response.on('close', () => this.handleClose(exchange));
    this.watchConnection(request, response, exchange);
    const deadline = arrivedAt + call.waitMilliseconds;
    this.deadlines.start(exchange);
    const bytes =
      body.kind === 'held' ? body.bytes.length : BODY_BUFFER_LIMIT_BYTES;
    this.handle({
      kind: 'call-arrived',
      call: entryCall(
        exchange,
        bytes,
        deadline,
        mayBeRepeat(call.parentRequestId),
      ),
    });
  }

  /**
   * Watches the socket as well as the response: the response to a pipelined
   * request gets its socket only when its turn comes, and emits no close event
   * before.
   */
  private watchConnection(
    request: IncomingMessage,
    response: ServerResponse,
    exchange: CallerExchange,
  ): void {
    const {socket} = request;
    const onClose = (): void => this.handleClose(exchange);
    socket.setMaxListeners(0);
    socket.once('close', onClose);
    response.once('finish', () => socket.off('close', onClose));
  }

  /**
   * Restarts all deadline timers after a suspension of the machine, during
   * which the clock advances and timers do not; overdue calls end at once.
   */
  restartDeadlineTimers(): void {
    this.exchanges.forEach((exchange) => this.deadlines.start(exchange));
  }

  private deadlinePassed(exchange: CallerExchange): void {
    const {requestId, call, answer} = exchange;
    if (answer.hasBegun) {
      const {customer} = call;
      this.dependencies.onCut?.({requestId, customer}, 'answer-stalled');
    }
    this.abortCall(exchange, 'deadline-passed');
  }

  private refuseTooLarge(callId: string): void {
    const exchange = this.exchanges.get(callId);
    if (exchange !== undefined) {
      this.abortCall(exchange, 'body-too-large');
    }
  }

  private countUnsent(exchange: CallerExchange): void {
    if (this.unsent !== undefined) {
      const {requestId, call, answer} = exchange;
      answer.countUnsent(this.unsent, {requestId, customer: call.customer});
    }
  }

  /** Refuses calls that can't end before the process does, from now on. */
  planStop(stop: PlannedStop): void {
    this.isStopping = true;
    this.handle({kind: 'stopping', stop});
  }

  /**
   * Ends all calls because the process is stopping. Each is refused with the
   * outcome known here; a closed connection would leave the outcome unclear to
   * the caller.
   */
  endAllCalls(): GivenUpCalls {
    this.isStopping = true;
    [...this.exchanges.values()].forEach((exchange) =>
      this.abortCall(exchange, 'node-leaving'),
    );
    this.receiving.forEach((unread) => {
      this.connections.endAfter(unread.request, unread.response);
      refuseRequest(this.dependencies, unread, 'node-leaving');
    });
    return this.givenUp;
  }

  /** Refuses calls that run nowhere and can't end before this node stops. */
  refuseUnstarted(): void {
    [...this.exchanges.values()]
      .filter(
        (exchange) =>
          !exchange.mayHaveBegun && !this.attempts.mayStart(exchange),
      )
      .forEach((exchange) => this.attempts.refuseUnstarted(exchange));
  }

  /**
   * To be called when the process exits: no answer that has not been sent whole
   * may look complete.
   */
  resetUnfinishedAnswers(): void {
    this.closeDelimited.reset();
  }

  /** Refuses calls with a quarantined request that have not started to run. */
  refuseQuarantined(digest: string): void {
    [...this.exchanges.values()]
      .filter(
        ({requestDigest, mayHaveBegun}) =>
          requestDigest === digest && !mayHaveBegun,
      )
      .forEach((exchange) => this.abortCall(exchange, 'request-quarantined'));
  }

  private abortCall(
    exchange: CallerExchange,
    reason: GivenUpEvent['reason'],
  ): void {
    const wasSent = exchange.mayHaveBegun;
    this.attempts.recordAttemptEnd(exchange, reason);
    this.handle({kind: 'call-aborted', callId: exchange.id, reason, wasSent});
  }

  private handle(event: EntryEvent): void {
    const {stateMachine, clock, random} = this.dependencies;
    for (const action of stateMachine.handle(clock(), random, event)) {
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
        this.attempts.attempt(exchange, action.attempt);
        break;
      case 'refuse':
        this.refuse(exchange, action.refusal);
        break;
      case 'pass-answer':
        this.passAnswer(exchange);
        break;
      case 'pass-fallback-answer':
        this.attempts.cancel(exchange);
        exchange.useFallbackAnswer();
        this.passAnswer(exchange);
        break;
      case 'pause':
        this.attempts.pause(exchange, action.milliseconds);
        break;
      case 'keep-overdue':
        this.attempts.keepOverdueAttempt(exchange);
        break;
      case 'cancel-overdue':
        this.attempts.cancelOverdueAttempt(exchange);
        break;
      case 'pass-overdue-answer':
        exchange.useOverdueAnswer();
        this.passAnswer(exchange);
        break;
      case 'cancel-attempt':
        this.attempts.cancel(exchange);
        break;
    }
  }

  private passAnswer(exchange: CallerExchange): void {
    const head = exchange.takeAnswer();
    if (head === undefined) {
      return;
    }
    const {metrics, clock} = this.dependencies;
    metrics.increment('calls.answered');
    metrics.timing('calls.milliseconds', exchange.age(clock()));
    const {name} = exchange.call.route;
    this.routeAnswers.answered(name, !head.hasMore);
    if (head.hasMore) {
      exchange.turn.begun();
    }
    exchange.answer.sendHead(head);
    this.countUnsent(exchange);
    this.recordEnd(exchange, 'answered', '');
    if (!head.hasMore) {
      this.ended(exchange);
    }
  }

  private recordEnd(
    exchange: CallerExchange,
    outcome: CallRecord['outcome'],
    reason: string,
    retryAfterMilliseconds?: number,
  ): void {
    const {clock, onEnded, stateMachine} = this.dependencies;
    const now = clock();
    const unused =
      outcome === 'answered'
        ? undefined
        : stateMachine.unusedUpstreams(now, exchange.call.view);
    onEnded?.(
      createCallRecord(
        exchange,
        outcome,
        reason,
        exchange.age(now),
        unused,
        retryAfterMilliseconds,
      ),
    );
  }

  private refuse(exchange: CallerExchange, refusal: Refusal): void {
    // Guards of other nodes that stop give the same reason.
    if (this.isStopping && refusal.reason === 'node-leaving') {
      const {repetition} = exchange.call.route.spec;
      countGivenUp(this.givenUp, refusal, repetition, exchange.answer.hasBegun);
      exchange.endConnection(this.connections);
    }
    if (exchange.answer.hasBegun) {
      exchange.answer.destroy();
      this.ended(exchange);
      return;
    }
    const keyHeader = freshKeyHeader(this.dependencies, exchange.call, refusal);
    exchange.answer.refuse(refusal, exchange.requestId, keyHeader);
    this.reportRefusal(exchange, refusal);
    this.ended(exchange);
  }

  private reportRefusal(exchange: CallerExchange, refusal: Refusal): void {
    const {reason, outcome, retryAfterMilliseconds} = refusal;
    const {requestId, call} = exchange;
    this.recordEnd(
      exchange,
      outcome,
      reason,
      retryAfterMilliseconds > 0
        ? Math.round(retryAfterMilliseconds)
        : undefined,
    );
    if (outcome === 'not-run' && !exchange.isAdmissionPending) {
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

  /** The connection closed: the caller left, or the answer was sent. */
  private handleClose(exchange: CallerExchange): void {
    if (this.exchanges.has(exchange.id) && !exchange.isOver) {
      this.recordEnd(exchange, 'caller-left', 'caller-left');
      this.handle({kind: 'caller-left', callId: exchange.id});
      this.remove(exchange);
    }
  }

  private ended(exchange: CallerExchange): void {
    exchange.answer.countUnfinished(this.finishing);
    this.handle({kind: 'answer-ended', callId: exchange.id});
    this.remove(exchange);
  }

  private remove(exchange: CallerExchange): void {
    clearTimeout(exchange.deadlineTimer);
    exchange.clearTimers();
    this.exchanges.delete(exchange.id);
    exchange.turn.settled();
  }
}
