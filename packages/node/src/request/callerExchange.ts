// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The state of one caller's request while it is served. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Attempt} from '@lockpin/brain';
import type {Refusal} from '@lockpin/types';
import {
  roundMilliseconds,
  startWithin,
  attemptPriority,
  usefulFor,
} from './attemptPriority.js';
import type {CallerBody} from './callerBody.js';
import type {CallerRequest} from './callerRequest.js';
import type {Exchange} from './exchange.js';
import type {AnswerHead, CallHead, FlatHeaders} from './frames.js';
import type {CallerProtocol} from './callerProtocol.js';
import {hasLength, lengthOfWhole} from './answerLength.js';
import {AttemptHistory} from './attemptHistory.js';
import type {CallerConnections} from './callerConnections.js';
import type {FinishingAnswers} from './finishingAnswers.js';
import type {UnsentAnswers} from './unsentAnswers.js';

/** Answers up to this size are written together with their headers. */
const SINGLE_WRITE_LIMIT_BYTES = 8 * 1024;

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

/** A call's body, attempts and answer, from its arrival to its end. */
export class CallerExchange {
  readonly requestId: string;
  readonly call: CallerRequest;
  readonly arrivedAt: number;
  /** Number of the current attempt; callbacks of earlier ones are ignored. */
  attemptSerial = 0;
  exchange: Exchange | undefined;
  /** An overdue attempt that runs alongside the current one. */
  overdue:
    | {
        readonly serial: number;
        readonly exchange: Exchange | undefined;
        answer: AnswerHead | undefined;
      }
    | undefined;
  /** An answer that was received and may still be discarded for a retry. */
  pendingAnswer: AnswerHead | undefined;
  /**
   * A complete answer of an earlier attempt, used when no later one succeeds.
   */
  fallbackAnswer: AnswerHead | undefined;
  deadlineTimer: NodeJS.Timeout | undefined;
  /** Runs until the guard reserves a slot, queues the call or refuses it. */
  silenceTimer: NodeJS.Timeout | undefined;
  overdueTimer: NodeJS.Timeout | undefined;
  /** Time limit of the current attempt, counted from its slot reservation. */
  overdueMilliseconds: number | undefined;
  /**
   * The current attempt may run: it needs no go signal, or has been sent it.
   */
  isGoSent = true;
  /** The admission check against the customer's limit is still pending. */
  isAdmissionPending = false;
  /**
   * A guard holds a slot for the current attempt until admission is decided.
   */
  hasReservedSlot = false;
  /** The current attempt may have reached its upstream. */
  mayHaveBegun = false;
  private readonly request: IncomingMessage;
  private readonly response: ServerResponse;
  private readonly body: Buffer | undefined;
  private lastHead: CallHead | undefined;
  readonly attemptHistory = new AttemptHistory();
  private isStreaming = false;
  private isEnded = false;
  private awaitsDrain = false;
  private hasProgressed = false;
  /** Only the end of the connection shows the caller the end of the answer. */
  private isCloseDelimited = false;

  constructor(
    readonly id: string,
    arrived: ArrivedRequest,
    readonly requestDigest: string,
    private readonly protocol: CallerProtocol,
    /** Called for an answer that only the end of its connection ends. */
    private readonly onCloseDelimited: (response: ServerResponse) => void,
  ) {
    this.requestId = arrived.requestId;
    this.call = arrived.call;
    this.request = arrived.request;
    this.response = arrived.response;
    this.body = arrived.body.kind === 'held' ? arrived.body.bytes : undefined;
    this.arrivedAt = arrived.arrivedAt;
  }

  get isReplayable(): boolean {
    return this.body !== undefined;
  }

  /** Milliseconds since the call arrived. */
  age(now: number): number {
    return now - this.arrivedAt;
  }

  /** Clears the timers of the current attempt. */
  clearAttemptTimers(): void {
    clearTimeout(this.silenceTimer);
    clearTimeout(this.overdueTimer);
  }

  /** The HTTP status sent to the caller; 0 when none was sent. */
  get status(): number {
    return this.hasBegun ? this.response.statusCode : 0;
  }

  /** Whether any part of the answer was sent to the caller. */
  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  get isOver(): boolean {
    return this.isEnded;
  }

  /** Builds the first frame of an attempt. */
  head(now: number, attempt: Attempt, needsGo: boolean): CallHead {
    const {route, customer, weight, path, onceKey, view} = this.call;
    this.lastHead = {
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
      hasMore: this.body === undefined,
      needsGo,
      terms: attempt.terms,
      usefulFor: usefulFor(this.call, this.age(now), attempt),
      startWithin: startWithin(now, attempt),
      expectedMilliseconds: roundMilliseconds(attempt.expectedMilliseconds),
      knownNotice: attempt.knownNotice,
      isNested: this.call.isNested === true,
    };
    return this.lastHead;
  }

  /**
   * Sends the go signal, which uses the slot reserved for the current attempt.
   */
  go(): void {
    if (this.lastHead !== undefined) {
      const {method, path, headers, body, requestDigest} = this.lastHead;
      this.exchange?.go({method, path, headers, body, requestDigest});
    }
  }

  /** Streams the caller's body to the guard, once it has reserved a slot. */
  streamBody(): void {
    if (this.body !== undefined || this.exchange === undefined) {
      return;
    }
    if (this.isStreaming) {
      this.request.resume();
      return;
    }
    this.isStreaming = true;
    this.request.on('data', (chunk: Buffer) => {
      if (this.exchange?.sendChunk(chunk) === false) {
        this.request.pause();
      }
    });
    this.request.on('end', () => this.exchange?.sendEnd());
  }

  /** Sends the head of an answer, with the body when it is complete. */
  sendHead(head: AnswerHead): void {
    const {response} = this;
    const headers = [
      ...this.protocol.answerHeaders(head),
      ...lengthOfWhole(head, this.request.method),
    ];
    response.writeHead(head.status, headers);
    this.hasProgressed = true;
    if (!head.hasMore) {
      this.isEnded = true;
      this.endWith(head.body);
      return;
    }
    // Without a length, Node.js answers in chunks, but not to HTTP/1.0.
    this.isCloseDelimited =
      !response.chunkedEncoding && !hasLength(head.headers);
    if (this.isCloseDelimited) {
      this.onCloseDelimited(response);
    }
  }

  /**
   * Sends short bodies as text: Node.js writes text together with the headers.
   */
  private endWith(body: Uint8Array | undefined): void {
    if (body !== undefined && body.length <= SINGLE_WRITE_LIMIT_BYTES) {
      const bytes = Buffer.from(body.buffer, body.byteOffset, body.length);
      this.response.end(bytes.toString('latin1'), 'latin1');
    } else {
      this.response.end(body);
    }
  }

  sendChunk(bytes: Buffer): boolean {
    this.hasProgressed = true;
    return this.response.write(bytes);
  }

  /** Counts the bytes of the answer that the caller has not taken yet. */
  countUnsent(unsent: UnsentAnswers): void {
    const {requestId, response, call} = this;
    unsent.written(response, {requestId, customer: call.customer});
  }

  /** Whether a part of the answer arrived since the last check, or is unsent. */
  takeProgress(): boolean {
    const isProgressing =
      this.hasBegun && (this.hasProgressed || this.response.writableLength > 0);
    this.hasProgressed = false;
    return isProgressing;
  }

  sendEnd(): void {
    this.isEnded = true;
    this.response.end();
  }

  /** Counts the answer, which has ended, until all of it is sent. */
  countUnfinished(finishing: FinishingAnswers): void {
    finishing.ended(this.response);
  }

  /**
   * Calls back once when the caller can take more, however often it is called.
   */
  onDrain(resume: () => void): void {
    if (this.awaitsDrain) {
      return;
    }
    this.awaitsDrain = true;
    this.response.once('drain', () => {
      this.awaitsDrain = false;
      resume();
    });
  }

  /**
   * Destroys the response, so that the caller sees the answer as incomplete.
   */
  destroyResponse(): void {
    this.isEnded = true;
    if (this.isCloseDelimited) {
      // A closed connection alone would look like the end of the answer.
      this.response.socket?.resetAndDestroy();
    }
    this.response.destroy();
  }

  refuse(
    refusal: Refusal,
    extraHeaders: Readonly<Record<string, string>>,
  ): void {
    this.isEnded = true;
    if (this.body === undefined) {
      // The rest of the body is not read, so the connection cannot be reused.
      this.response.shouldKeepAlive = false;
    }
    this.protocol.refuse(this.response, refusal, this.requestId, extraHeaders);
  }

  /** Ends the connection after the answer; see CallerConnections. */
  endConnection(connections: CallerConnections): void {
    connections.endAfter(this.request, this.response);
  }

  private callHeaders(attempt: Attempt): FlatHeaders {
    const {request, requestId, protocol, call} = this;
    return [
      ...protocol.callHeaders(request, requestId, attempt.number, call),
      ...this.lengthHeader(),
    ];
  }

  /** undici checks a streamed body against the declared content length. */
  private lengthHeader(): readonly string[] {
    const length = this.request.headers['content-length'];
    return this.body === undefined && length !== undefined
      ? ['content-length', length]
      : [];
  }
}

/** The last segment of a name; the service is sent separately. */
export function shortName(name: string): string {
  return name.slice(name.lastIndexOf('/') + 1);
}
