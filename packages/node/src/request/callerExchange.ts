// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The state of one caller's request while it is served. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Attempt} from '@lockpin/brain';
import {AttemptHistory} from './attemptHistory.js';
import {
  attemptPriority,
  roundMilliseconds,
  startWithin,
  usefulFor,
} from './attemptPriority.js';
import {BodySender} from './bodySender.js';
import type {CallAttempt} from './callAttempt.js';
import {CallerAnswer} from './callerAnswer.js';
import type {CallerBody} from './callerBody.js';
import type {CallerProtocol} from './callerProtocol.js';
import type {CallerConnections} from './callerConnections.js';
import type {CallerRequest} from './callerRequest.js';
import type {AnswerHead, CallHead, FlatHeaders} from './frames.js';
import type {Turn} from './connectionTurns.js';
import {dropRest, prepareAnswer} from './requestRest.js';

/** A request that became a call. */
export interface ArrivedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly call: CallerRequest;
  readonly body: CallerBody & {readonly kind: 'held' | 'streamed'};
  /** When the call began, by the clock of the entry. */
  readonly arrivedAt: number;
}

/** What a call needs from the entry service. */
export interface CallerExchangeOptions {
  readonly protocol: CallerProtocol;
  /** Its turn among the requests of its connection. */
  readonly turn: Turn;
  /** Called for an answer that only the end of its connection ends. */
  readonly onCloseDelimited: (response: ServerResponse) => void;
  /** The first part of a streamed body is about to be sent. */
  readonly onBodyBegun: (id: string) => void;
  readonly largestBodyBytes: number;
  /** A streamed body has more bytes than that. */
  readonly onBodyTooLarge: (id: string) => void;
}

/** An attempt that runs alongside the current one, and its answer. */
interface OverdueAttempt {
  readonly attempt: CallAttempt;
  readonly answer: AnswerHead | undefined;
}

/** A call's body, attempts and answer, from its arrival to its end. */
export class CallerExchange {
  readonly requestId: string;
  readonly call: CallerRequest;
  readonly arrivedAt: number;
  readonly attemptHistory = new AttemptHistory();
  readonly answer: CallerAnswer;
  /** Set by the deadlines of the entry. */
  deadlineTimer: NodeJS.Timeout | undefined;
  /** The admission check against the customer's limit is still pending. */
  isAdmissionPending = false;
  private readonly request: IncomingMessage;
  /** Undefined if the whole body is held. */
  private readonly sender: BodySender | undefined;
  private readonly body: Buffer | undefined;
  private current: CallAttempt | undefined;
  private overdue: OverdueAttempt | undefined;
  private pauseTimer: NodeJS.Timeout | undefined;
  /** An answer that was received and may still be discarded for a retry. */
  private pendingAnswer: AnswerHead | undefined;
  /**
   * A complete answer of an earlier attempt, used when no later one succeeds.
   */
  private fallbackAnswer: AnswerHead | undefined;

  constructor(
    readonly id: string,
    arrived: ArrivedRequest,
    readonly requestDigest: string,
    private readonly options: CallerExchangeOptions,
  ) {
    const {request, response, body} = arrived;
    this.requestId = arrived.requestId;
    this.call = arrived.call;
    this.arrivedAt = arrived.arrivedAt;
    this.request = request;
    this.body = body.kind === 'held' ? body.bytes : undefined;
    const sender =
      body.kind === 'held'
        ? undefined
        : new BodySender({
            request,
            largestBytes: options.largestBodyBytes,
            onBegun: () => options.onBodyBegun(id),
            onTooLarge: () => options.onBodyTooLarge(id),
          });
    this.sender = sender;
    this.answer = new CallerAnswer({
      ...options,
      response,
      method: request.method,
      onHead: () => {
        if (sender !== undefined) {
          prepareAnswer(request, response, sender.takenBytes);
        }
      },
      onEnded: () => {
        if (sender !== undefined) {
          sender.detach();
          dropRest(request, response);
        }
      },
    });
  }

  /** Whether the whole body is held. */
  get isReplayable(): boolean {
    return this.sender === undefined;
  }

  get turn(): Turn {
    return this.options.turn;
  }

  /** The attempt whose guard is waited for. */
  get currentAttempt(): CallAttempt | undefined {
    return this.current;
  }

  /** The current attempt may have reached its upstream. */
  get mayHaveBegun(): boolean {
    return this.current?.mayHaveBegun === true;
  }

  /** Whether nothing more is sent to the caller. */
  get isOver(): boolean {
    return this.answer.isOver;
  }

  /** Milliseconds since the call arrived. */
  age(now: number): number {
    return now - this.arrivedAt;
  }

  /** Whether a part of the answer arrived since the last check, or is unsent. */
  takeProgress(): boolean {
    return this.answer.takeProgress();
  }

  /** Whether the replies of an attempt count. */
  isCurrent(attempt: CallAttempt): boolean {
    return this.current === attempt && !this.isOver;
  }

  /** Whether an attempt is overdue and runs on; its answer counts. */
  isOverdue(attempt: CallAttempt): boolean {
    return this.overdue?.attempt === attempt && !this.isOver;
  }

  /** Begins an attempt; a failed answer of an earlier one is kept. */
  beginAttempt(attempt: CallAttempt): void {
    this.endAttempt();
    this.fallbackAnswer = this.pendingAnswer ?? this.fallbackAnswer;
    this.pendingAnswer = undefined;
    this.current = attempt;
  }

  /** Ignores the current attempt from now on. */
  endAttempt(): void {
    this.clearTimers();
    this.sender?.detach();
    this.current = undefined;
  }

  /** Clears the timers of the current attempt or pause. */
  clearTimers(): void {
    clearTimeout(this.pauseTimer);
    this.current?.clearTimers();
  }

  /** Calls back after a pause in which the call is offered to no guard. */
  pause(milliseconds: number, onOver: () => void): void {
    this.endAttempt();
    this.pauseTimer = setTimeout(onOver, milliseconds);
  }

  /** Lets the current attempt run on beside the next one. */
  keepOverdueAttempt(): void {
    this.overdue = this.current && {attempt: this.current, answer: undefined};
  }

  /** The overdue attempt counts no longer; returns it. */
  dropOverdueAttempt(): CallAttempt | undefined {
    const attempt = this.overdue?.attempt;
    this.overdue = undefined;
    return attempt;
  }

  /** Keeps the answer of the overdue attempt until it is passed on or dropped. */
  overdueAnswered(answer: AnswerHead): void {
    this.overdue = this.overdue && {...this.overdue, answer};
  }

  /** Makes the answer of the overdue attempt the one to pass on. */
  useOverdueAnswer(): void {
    this.pendingAnswer = this.overdue?.answer;
    this.overdue = undefined;
  }

  /** Makes the answer of an earlier attempt the one to pass on. */
  useFallbackAnswer(): void {
    this.pendingAnswer = this.fallbackAnswer;
  }

  /** The current attempt was answered. */
  answered(head: AnswerHead): void {
    this.pendingAnswer = head;
  }

  /** Takes the answer to pass on. */
  takeAnswer(): AnswerHead | undefined {
    const head = this.pendingAnswer;
    this.pendingAnswer = undefined;
    return head;
  }

  /** Sends a streamed body, or more of it, to the guard of the attempt. */
  continueBody(): void {
    const exchange = this.current?.exchange;
    if (exchange !== undefined) {
      this.sender?.continueTo(exchange);
    }
  }

  /** Builds the first frame of an attempt. */
  head(now: number, attempt: Attempt, needsGo: boolean): CallHead {
    const {route, customer, weight, path, onceKey, view} = this.call;
    return {
      requestId: this.requestId,
      service: view.name,
      upstream: attempt.upstream,
      customer,
      weight,
      route: shortName(route.name),
      repetition: route.spec.repetition,
      priority: attemptPriority(this.call, this.age(now), attempt),
      remaining: Math.max(0, Math.floor(attempt.call.deadline - now)),
      attempt: attempt.number,
      retryShare: route.spec.retryShare,
      mayBeRepeat: attempt.call.mayBeRepeat === true,
      onceKey: onceKey?.text,
      requestDigest: this.requestDigest,
      method: this.request.method ?? 'GET',
      path,
      headers: this.callHeaders(attempt),
      body: this.body,
      hasMore: this.sender !== undefined,
      needsGo,
      terms: attempt.terms,
      usefulFor: usefulFor(this.call, this.age(now), attempt),
      startWithin: startWithin(now, attempt),
      expectedMilliseconds: roundMilliseconds(attempt.expectedMilliseconds),
      knownNotice: attempt.knownNotice,
      isNested: this.call.isNested === true,
    };
  }

  /** Ends the connection after the answer; see CallerConnections. */
  endConnection(connections: CallerConnections): void {
    this.answer.endConnection(connections, this.request);
  }

  private callHeaders(attempt: Attempt): FlatHeaders {
    const {request, requestId, call} = this;
    return [
      ...this.options.protocol.callHeaders(
        request,
        requestId,
        attempt.number,
        call,
      ),
      ...this.lengthHeader(),
    ];
  }

  /** undici checks a streamed body against the declared content length. */
  private lengthHeader(): readonly string[] {
    const length = this.request.headers['content-length'];
    return this.sender !== undefined && length !== undefined
      ? ['content-length', length]
      : [];
  }
}

/** The last segment of a name; the service is sent separately. */
export function shortName(name: string): string {
  return name.slice(name.lastIndexOf('/') + 1);
}
