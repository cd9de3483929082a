// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** One caller's request while it is served: body, attempts and answer. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Attempt} from '@lockpin/brain';
import type {Refusal} from '@lockpin/types';
import {rounded, startWithin, urgencyOf, usefulFor} from './attemptUrgency.js';
import type {CallerBody} from './callerBody.js';
import type {CallerRequest} from './callerRequest.js';
import type {Exchange} from './exchange.js';
import type {AnswerHead, CallHead, FlatHeaders} from './frames.js';
import type {CallerProtocol} from './callerProtocol.js';
import {CallStory} from './callStory.js';

/** Answers up to this size are written together with their headers. */
const ONE_WRITE_BYTES = 8 * 1024;

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

/** Lives from a request's head to the end of its answer. */
export class CallerExchange {
  readonly requestId: string;
  readonly call: CallerRequest;
  readonly arrivedAt: number;
  /** The attempt under way; callbacks of earlier ones are ignored. */
  attemptSerial = 0;
  exchange: Exchange | undefined;
  /** An attempt that goes on beside the one under way. */
  overdue:
    | {
        readonly serial: number;
        readonly exchange: Exchange | undefined;
        answer: AnswerHead | undefined;
      }
    | undefined;
  /** An answer at hand that may still be set aside for a retry. */
  heldAnswer: AnswerHead | undefined;
  /** A whole answer that was set aside; passed on when no later attempt brings one. */
  spareAnswer: AnswerHead | undefined;
  timer: NodeJS.Timeout | undefined;
  /** Runs while the guard has neither started the call nor let it wait. */
  silenceTimer: NodeJS.Timeout | undefined;
  overdueTimer: NodeJS.Timeout | undefined;
  /** Of the attempt under way, counted from when it has its slot. */
  overdueMilliseconds: number | undefined;
  /** The attempt under way may run: it needs no go, or has been given it. */
  isGoGiven = true;
  /** Whether the call is within its customer's limit is not known yet. */
  isUndecided = false;
  /** A guard keeps a slot for the attempt under way until that is known. */
  hasSlot = false;
  /** The attempt under way may have reached its upstream. */
  mayHaveBegun = false;
  private readonly request: IncomingMessage;
  private readonly response: ServerResponse;
  private readonly body: Buffer | undefined;
  private lastHead: CallHead | undefined;
  readonly story = new CallStory();
  private isStreaming = false;
  private isEnded = false;
  private awaitsDrain = false;

  constructor(
    readonly id: string,
    arrived: ArrivedRequest,
    readonly requestDigest: string,
    private readonly protocol: CallerProtocol,
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

  /** Since the call arrived, in milliseconds. */
  age(now: number): number {
    return now - this.arrivedAt;
  }

  /** Ends the timers of the attempt under way. */
  clearAttemptTimers(): void {
    clearTimeout(this.silenceTimer);
    clearTimeout(this.overdueTimer);
  }

  /** The status that went to the caller; 0 when none did. */
  get status(): number {
    return this.hasBegun ? this.response.statusCode : 0;
  }

  /** Whether the answer has begun to go to the caller. */
  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  get isOver(): boolean {
    return this.isEnded;
  }

  /** The first frame of an attempt. */
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
      priority: urgencyOf(this.call, this.age(now), attempt),
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
      expectedMilliseconds: rounded(attempt.expectedMilliseconds),
    };
    return this.lastHead;
  }

  /** Takes the slot that the guard of the attempt under way keeps. */
  go(): void {
    if (this.lastHead !== undefined) {
      const {method, path, headers, body, requestDigest} = this.lastHead;
      this.exchange?.go({method, path, headers, body, requestDigest});
    }
  }

  /** The guard has a slot: let the caller's body flow to it. */
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

  /** Sends the head of an answer, and its body when it is at hand. */
  sendHead(head: AnswerHead): void {
    const headers = this.protocol.answerHeaders(head);
    if (head.isUnframed) {
      // The end of the connection is the end of the answer here too.
      this.response.useChunkedEncodingByDefault = false;
      this.response.shouldKeepAlive = false;
    }
    this.response.writeHead(head.status, [...headers]);
    if (!head.hasMore) {
      this.isEnded = true;
      this.endWith(head.body);
    }
  }

  /** Short bodies go out in one write with the headers, which node does for text. */
  private endWith(body: Uint8Array | undefined): void {
    if (body !== undefined && body.length <= ONE_WRITE_BYTES) {
      const bytes = Buffer.from(body.buffer, body.byteOffset, body.length);
      this.response.end(bytes.toString('latin1'), 'latin1');
    } else {
      this.response.end(body);
    }
  }

  sendChunk(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  sendEnd(): void {
    this.isEnded = true;
    this.response.end();
  }

  /** Calls back once the caller can take more; chunks on their way add nothing. */
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

  /** An answer broke off: the caller must see that it is not whole. */
  breakOff(): void {
    this.isEnded = true;
    this.response.destroy();
  }

  refuse(
    refusal: Refusal,
    extraHeaders: Readonly<Record<string, string>>,
  ): void {
    this.isEnded = true;
    if (this.body === undefined) {
      // The rest of the body is not wanted; its connection cannot be used again.
      this.response.shouldKeepAlive = false;
    }
    this.protocol.refuse(this.response, refusal, this.requestId, extraHeaders);
  }

  private callHeaders(attempt: Attempt): FlatHeaders {
    const {request, requestId, protocol, call} = this;
    return [
      ...protocol.callHeaders(request, requestId, attempt.number, call),
      ...this.lengthHeader(),
    ];
  }

  /** undici checks a streamed body against the length that was announced. */
  private lengthHeader(): readonly string[] {
    const length = this.request.headers['content-length'];
    return this.body === undefined && length !== undefined
      ? ['content-length', length]
      : [];
  }
}

/** The last part of a name; the service is known where it is used. */
function shortName(name: string): string {
  return name.slice(name.lastIndexOf('/') + 1);
}
