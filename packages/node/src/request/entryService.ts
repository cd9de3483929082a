// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The entry's side of a call: from the caller's request to its answer. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {
  Attempt,
  EntryAction,
  EntryBrain,
  EntryEvent,
} from '@lockpin/brain';
import type {ServiceView} from '@lockpin/configuration';
import type {Logger} from '@lockpin/logger';
import {mintOnceKey} from '@lockpin/once';
import type {
  Clock,
  RandomSource,
  Refusal,
  RefusalReason,
  Repetition,
} from '@lockpin/types';
import {sha256Hex} from '@lockpin/utils';
import type {NodeMetrics} from '../process/metrics.js';
import {
  CallerExchange,
  HELD_BODY_BYTES,
  ONCE_BODY_BYTES,
} from './callerExchange.js';
import type {CallerProtocol} from './callerProtocol.js';
import type {CallerRequest} from './callerRequest.js';
import type {CallRecord} from './callStory.js';
import type {Exchange, ExchangeHandlers} from './exchange.js';
import type {AnswerHead, CallHead} from './frames.js';
import {readBody} from './readBody.js';

/** What the entry's service needs of its process. */
export interface EntryServiceDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly brain: EntryBrain;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  readonly largestBodyBytes: () => number;
  readonly protocol: CallerProtocol;
  readonly isReady: () => boolean;
  readonly isLeaving: () => boolean;
  /** The process now on a box, for minting once keys. */
  readonly incarnation: (box: string) => string | undefined;
  readonly isOwnBox: (box: string) => boolean;
  /** Whether a guard must reserve a slot for a call before it may run it. */
  readonly needsGo: (box: string, repetition: Repetition) => boolean;
  /** The guard of a box was silent. */
  readonly onSilence?: (box: string) => void;
  /** Told of every call at its end. */
  readonly onEnded?: (record: CallRecord) => void;
  /** Begins an exchange with the guard of a box. */
  readonly begin: (
    box: string,
    head: CallHead,
    handlers: ExchangeHandlers,
  ) => Exchange;
}

/** Calls from callers, each until its answer or refusal. */
export class EntryService {
  private readonly exchanges = new Map<string, CallerExchange>();
  private serial = 0;

  constructor(private readonly dependencies: EntryServiceDependencies) {}

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
      await this.route(request, response);
    } catch (error) {
      // One call must not bring down the others; its caller sees it break.
      const detail = String((error as Error).stack);
      this.dependencies.logger.error('a call failed in lockpin', {detail});
      response.destroy();
    }
  }

  private async route(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const arrivedAt = this.dependencies.clock();
    const {protocol} = this.dependencies;
    const requestId = protocol.requestId(request);
    const reason = this.reasonNotToServe();
    if (reason !== undefined) {
      this.refuseEarly(response, requestId, reason, request);
      return;
    }
    const read = protocol.read(request);
    if (!read.ok) {
      this.refuseEarly(response, requestId, read.failure, request);
      return;
    }
    const body = await this.readBodyFor(request, read.value);
    if (body === 'too-large') {
      this.refuseEarly(response, requestId, 'body-too-large');
      return;
    }
    if (body === 'cut' || response.destroyed) {
      return;
    }
    this.arrived(request, response, requestId, read.value, body, arrivedAt);
  }

  /** A key bound to the home of an upstream that takes calls now. */
  mintKey(view: ServiceView): string | undefined {
    const {brain, clock, random, incarnation} = this.dependencies;
    const now = clock();
    const chosen = brain.chooseFor(now, random, {view});
    const process = chosen && incarnation(chosen.box);
    return chosen && process
      ? mintOnceKey(now, random, {box: chosen.box, incarnation: process})
      : undefined;
  }

  private reasonNotToServe(): RefusalReason | undefined {
    if (this.dependencies.isLeaving()) {
      return 'node-leaving';
    }
    return this.dependencies.isReady() ? undefined : 'not-ready';
  }

  private async readBodyFor(
    request: IncomingMessage,
    call: CallerRequest,
  ): Promise<Buffer | undefined | 'too-large' | 'cut'> {
    const largestBodyBytes = this.dependencies.largestBodyBytes();
    const length = Number(request.headers['content-length'] ?? Number.NaN);
    if (length > largestBodyBytes) {
      return 'too-large';
    }
    if (call.onceKey !== undefined) {
      return readBody(request, ONCE_BODY_BYTES);
    }
    const hasNoBody =
      Number.isNaN(length) && !('transfer-encoding' in request.headers);
    if (hasNoBody) {
      return EMPTY;
    }
    return length <= HELD_BODY_BYTES
      ? readBody(request, HELD_BODY_BYTES)
      : undefined;
  }

  private arrived(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
    call: CallerRequest,
    body: Buffer | undefined,
    arrivedAt: number,
  ): void {
    this.serial += 1;
    const id = String(this.serial);
    const digest =
      call.onceKey === undefined
        ? ''
        : sha256Hex(`${request.method} ${call.path}\n${sha256Hex(body ?? '')}`);
    const exchange = new CallerExchange(
      id,
      requestId,
      call,
      request,
      response,
      body,
      digest,
      arrivedAt,
      this.dependencies.protocol,
    );
    this.exchanges.set(id, exchange);
    response.on('close', () => this.closed(exchange));
    this.watchConnection(request, response, exchange);
    const deadline = arrivedAt + call.waitMilliseconds;
    exchange.timer = setTimeout(
      () => this.deadlinePassed(exchange),
      deadline - this.dependencies.clock(),
    );
    this.handle({
      kind: 'call-arrived',
      call: {
        id,
        view: call.view,
        route: call.route,
        customer: call.customer,
        bytes: body?.length ?? HELD_BODY_BYTES,
        deadline,
        onceKey: call.onceKey,
        isFirstWithKey: call.isFirstWithKey,
        isReplayable: exchange.isReplayable,
        isCallersRetry: call.isCallersRetry,
      },
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

  private deadlinePassed(exchange: CallerExchange): void {
    const wasSent = exchange.mayHaveBegun;
    exchange.story.ended(this.age(exchange), 'deadline-passed');
    this.handle({kind: 'deadline-passed', callId: exchange.id, wasSent});
  }

  private age(exchange: CallerExchange): number {
    return this.dependencies.clock() - exchange.arrivedAt;
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
        this.attempt(exchange, action.attempt);
        break;
      case 'refuse':
        this.refuse(exchange, action.refusal);
        break;
      case 'pass-answer':
        this.passAnswer(exchange);
        break;
      case 'pause':
        this.pause(exchange, action.milliseconds);
        break;
      case 'keep-overdue':
        exchange.story.ended(this.age(exchange), 'overdue');
        exchange.overdue = {
          serial: exchange.attemptSerial,
          exchange: exchange.exchange,
          answer: undefined,
        };
        break;
      case 'cancel-overdue':
        exchange.overdue?.exchange?.cancel();
        exchange.overdue = undefined;
        break;
      case 'pass-overdue-answer':
        exchange.heldAnswer = exchange.overdue?.answer;
        exchange.overdue = undefined;
        this.passAnswer(exchange);
        break;
      case 'cancel-attempt':
        exchange.attemptSerial += 1;
        exchange.clearAttemptTimers();
        exchange.exchange?.cancel();
        exchange.exchange = undefined;
        break;
    }
  }

  private pause(exchange: CallerExchange, milliseconds: number): void {
    exchange.attemptSerial += 1;
    exchange.exchange = undefined;
    exchange.mayHaveBegun = false;
    exchange.clearAttemptTimers();
    exchange.silenceTimer = setTimeout(
      () => this.handle({kind: 'pause-ended', callId: exchange.id}),
      milliseconds,
    );
  }

  private attempt(exchange: CallerExchange, attempt: Attempt): void {
    exchange.attemptSerial += 1;
    exchange.heldAnswer = undefined;
    const {clock, brain} = this.dependencies;
    const now = clock();
    const needsGo = this.needsGo(exchange, attempt);
    const head = exchange.head(now, attempt, needsGo);
    const known = brain.loads.lastHint(attempt.upstream ?? '', now);
    exchange.story.offered(
      this.age(exchange),
      attempt,
      known && {state: known.hint.state, age: known.age},
    );
    exchange.isGoGiven = !needsGo;
    // Only a guard in this process, or one that waits for a go, tells for sure.
    const tellsStart = needsGo || this.dependencies.isOwnBox(attempt.box);
    exchange.mayHaveBegun = !tellsStart || !exchange.isReplayable;
    this.setAttemptTimers(exchange, attempt, needsGo);
    const serial = exchange.attemptSerial;
    const handlers = this.handlersFor(exchange, serial);
    const begun = this.dependencies.begin(attempt.box, head, handlers);
    // A guard in this process may have refused, and the next attempt begun.
    if (exchange.attemptSerial === serial) {
      exchange.exchange = begun;
    }
  }

  private needsGo(exchange: CallerExchange, {box}: Attempt): boolean {
    const {repetition} = exchange.call.route.spec;
    return exchange.isReplayable && this.dependencies.needsGo(box, repetition);
  }

  private setAttemptTimers(
    exchange: CallerExchange,
    {box, overdueMilliseconds, silenceMilliseconds}: Attempt,
    needsGo: boolean,
  ): void {
    const {onSilence} = this.dependencies;
    const callId = exchange.id;
    exchange.clearAttemptTimers();
    if (needsGo) {
      exchange.silenceTimer = setTimeout(() => {
        exchange.story.ended(this.age(exchange), 'guard-silent');
        onSilence?.(box);
        this.handle({kind: 'attempt-silent', callId});
      }, silenceMilliseconds);
    }
    exchange.overdueMilliseconds = overdueMilliseconds;
  }

  /** Time in a guard's queue is not held against the upstream. */
  private watchForOverdue(exchange: CallerExchange): void {
    const {id: callId, overdueMilliseconds} = exchange;
    if (overdueMilliseconds !== undefined) {
      exchange.overdueTimer = setTimeout(
        () => this.handle({kind: 'attempt-overdue', callId}),
        overdueMilliseconds,
      );
    }
  }

  /** The guard has a slot for the call. */
  private slotFound(exchange: CallerExchange): void {
    clearTimeout(exchange.silenceTimer);
    exchange.mayHaveBegun = true;
    this.watchForOverdue(exchange);
    if (exchange.isGoGiven) {
      exchange.streamBody();
      return;
    }
    exchange.isGoGiven = true;
    exchange.go();
  }

  private handlersFor(
    exchange: CallerExchange,
    serial: number,
  ): ExchangeHandlers {
    const callId = exchange.id;
    const isOverdue = (): boolean =>
      exchange.overdue?.serial === serial && !exchange.isOver;
    const isCurrent = (): boolean =>
      exchange.attemptSerial === serial && !exchange.isOver;
    const ifOverdue = (act: () => void): void => {
      if (isOverdue()) {
        act();
      }
    };
    const overdueEnded = (): void =>
      ifOverdue(() => {
        exchange.overdue = undefined;
        this.handle({kind: 'overdue-ended', callId});
      });
    const ifCurrent = (act: () => void): void => {
      if (isCurrent()) {
        act();
      }
    };
    return {
      onContinue: () => ifCurrent(() => this.slotFound(exchange)),
      onQueued: () => ifCurrent(() => clearTimeout(exchange.silenceTimer)),
      onAnswer: (head) => {
        ifOverdue(() => this.overdueAnswered(exchange, head));
        ifCurrent(() => this.answered(exchange, callId, head));
      },
      onChunk: (bytes) => this.chunk(exchange, isCurrent(), bytes),
      onEnd: () =>
        ifCurrent(() => {
          exchange.sendEnd();
          this.ended(exchange);
        }),
      onRefusal: ({refusal, upstream, hint}) => {
        overdueEnded();
        ifCurrent(() => {
          exchange.clearAttemptTimers();
          exchange.story.ended(this.age(exchange), refusal.reason);
          this.handle({
            kind: 'attempt-refused',
            callId,
            refusal,
            upstream,
            hint,
          });
        });
      },
      onLost: (wasSent) => {
        overdueEnded();
        ifCurrent(() => this.lost(exchange, wasSent && exchange.mayHaveBegun));
      },
    };
  }

  private answered(
    exchange: CallerExchange,
    callId: string,
    head: AnswerHead,
  ): void {
    exchange.heldAnswer = head;
    const {status, hint, ranMilliseconds} = head;
    const isWhole = !head.hasMore;
    exchange.clearAttemptTimers();
    exchange.story.ended(this.age(exchange), String(status));
    this.handle({
      kind: 'attempt-answered',
      callId,
      status,
      isWhole,
      hint,
      ranMilliseconds,
    });
  }

  /** Only an answer that is at hand whole can take the place of another. */
  private overdueAnswered(exchange: CallerExchange, head: AnswerHead): void {
    const callId = exchange.id;
    const {overdue} = exchange;
    if (overdue === undefined || head.hasMore) {
      overdue?.exchange?.cancel();
      exchange.overdue = undefined;
      this.handle({kind: 'overdue-ended', callId});
      return;
    }
    const {status, hint, ranMilliseconds} = head;
    overdue.answer = head;
    if (status >= FIRST_FAILED_STATUS) {
      exchange.overdue = undefined;
    }
    this.handle({
      kind: 'overdue-answered',
      callId,
      status,
      hint,
      ranMilliseconds,
    });
  }

  private passAnswer(exchange: CallerExchange): void {
    const head = exchange.heldAnswer;
    if (head === undefined) {
      return;
    }
    const {metrics, clock} = this.dependencies;
    metrics.increment('calls.answered');
    metrics.timing('calls.milliseconds', clock() - exchange.arrivedAt);
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
    const {requestId, call, story, status} = exchange;
    this.dependencies.onEnded?.({
      requestId,
      service: call.view.name,
      route: call.route.name,
      version: call.version,
      outcome,
      reason,
      status,
      milliseconds: Math.round(this.age(exchange)),
      attempts: story.attempts,
    });
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
      exchange.onDrain(() => exchange.exchange?.resume());
    }
    return hasRoom;
  }

  private lost(exchange: CallerExchange, wasSent: boolean): void {
    if (exchange.hasBegun) {
      exchange.breakOff();
      this.ended(exchange);
      return;
    }
    exchange.clearAttemptTimers();
    exchange.story.ended(this.age(exchange), 'guard-lost');
    this.handle({kind: 'attempt-lost', callId: exchange.id, wasSent});
  }

  private refuse(exchange: CallerExchange, refusal: Refusal): void {
    if (exchange.hasBegun) {
      exchange.breakOff();
      this.ended(exchange);
      return;
    }
    exchange.refuse(refusal, this.freshKey(exchange.call, refusal));
    this.note(exchange, refusal);
    this.ended(exchange);
  }

  /** A once-only call that has not run may be sent again under a new key. */
  private freshKey(
    call: CallerRequest,
    refusal: Refusal,
  ): Readonly<Record<string, string>> {
    if (call.onceKey === undefined || refusal.outcome !== 'not-run') {
      return {};
    }
    const key = this.mintKey(call.view);
    return key === undefined ? {} : {'lockpin-fresh-once-key': key};
  }

  private refuseEarly(
    response: ServerResponse,
    requestId: string,
    reason: RefusalReason,
    request?: IncomingMessage,
  ): void {
    const refusal: Refusal = {
      reason,
      outcome: 'not-run',
      retryAfterMilliseconds: reason === 'not-ready' ? 500 : 0,
    };
    if (request === undefined || !hasShortBody(request)) {
      response.shouldKeepAlive = false;
    }
    this.dependencies.protocol.refuse(response, refusal, requestId, {});
    request?.resume();
    this.dependencies.metrics.increment('calls.refused', {reason});
    this.dependencies.logger.debug('call refused', {requestId, reason});
  }

  private note(exchange: CallerExchange, refusal: Refusal): void {
    const {reason, outcome} = refusal;
    const {requestId, call} = exchange;
    this.record(exchange, outcome, reason);
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

const EMPTY = Buffer.alloc(0);

/** Statuses from here on say that the call failed at its upstream. */
const FIRST_FAILED_STATUS = 500;

/** Whether what is left of a request can be read and dropped at no great cost. */
function hasShortBody({headers}: IncomingMessage): boolean {
  const length = Number(headers['content-length'] ?? 0);
  return !('transfer-encoding' in headers) && length <= HELD_BODY_BYTES;
}
