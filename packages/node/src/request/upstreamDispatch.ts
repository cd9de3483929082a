// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Sends a guard's calls to their upstreams and receives the answers. */

import type {IncomingHttpHeaders} from 'node:http';
import {Readable} from 'node:stream';
import type {GuardStateMachine, GuardEvent} from '@lockpin/brain';
import type {Clock, UpstreamNotice} from '@lockpin/types';
import type {Dispatcher} from 'undici';
import type {UpstreamPools} from '../connection/upstreamPools.js';
import {NO_ANSWER} from '../connection/upstreamSocket.js';
import {
  answeredEvent,
  connectionFailure,
  failureEvent,
  failureOf,
  interruptedEvent,
  isWholeNotModified,
} from './answerEvents.js';
import {FIRST_FINAL_STATUS, isAnswer, mustBeEmpty} from './answerSyntax.js';
import type {CallHead} from './frames.js';
import type {GuardAnswers} from './guardAnswers.js';
import type {GuardExchange} from './guardExchange.js';
import {UpstreamAnswer} from './upstreamAnswer.js';
import {LOCKPIN_UPSTREAM_PROTOCOL} from './upstreamProtocol.js';
import type {UpstreamProtocol} from './upstreamProtocol.js';

/** What the dispatch needs from the guard service. */
export interface UpstreamDispatchDependencies {
  readonly clock: Clock;
  readonly stateMachine: GuardStateMachine;
  readonly pools: UpstreamPools;
  readonly protocol?: UpstreamProtocol;
  /** Passes an event to the decision logic and performs its actions. */
  readonly handleEvent: (event: GuardEvent) => void;
  /** Whether the guard still waits for the result of a call. */
  readonly isUnderWay: (exchange: GuardExchange) => boolean;
  /** Called for a complete answer, before the decision logic is notified. */
  readonly onAnswered: (exchange: GuardExchange, status: number) => void;
  /**
   * Buffers long answers for slow readers; absent where answers are read only
   * as fast as their callers read them.
   */
  readonly answers?: GuardAnswers | undefined;
}

/**
 * Name of the server for TLS, which upstreams do not use. Without one, undici
 * checks whether the host header is an IPv6 address; compiling the regular
 * expression for that takes 10 ms in each process.
 */
const TLS_SERVER_NAME = 'upstream';

/** Sends calls to their upstreams. */
export class UpstreamDispatch {
  constructor(private readonly dependencies: UpstreamDispatchDependencies) {}

  /** Sends a call; its result is passed to the decision logic as an event. */
  run(exchange: GuardExchange, upstream: string): void {
    const {head, deadline} = exchange;
    const {pools, clock} = this.dependencies;
    const isSingle = head.repetition === 'at-most-once';
    const pool = isSingle
      ? pools.createSingleUseClient(upstream)
      : pools.get(upstream);
    if (pool === undefined) {
      this.dependencies.handleEvent({
        kind: 'upstream-failed',
        callId: exchange.id,
        wasSent: false,
      });
      return;
    }
    if (head.hasMore) {
      exchange.requestBody = new Readable({
        read: () => exchange.handlers.onContinue(),
      });
    }
    const now = clock();
    if (!head.needsGo && !head.hasMore) {
      exchange.handlers.onContinue();
    }
    exchange.upstream = upstream;
    exchange.sentAt = now;
    const options: Dispatcher.DispatchOptions & {servername: string} = {
      path: head.path,
      method: head.method as Dispatcher.HttpMethod,
      headers: this.headersFor(head, deadline, upstream, now),
      body: exchange.requestBody ?? requestBytes(head),
      reset: isSingle,
      servername: TLS_SERVER_NAME,
    };
    pool.dispatch(options, this.dispatchHandler(exchange, upstream));
    if (isSingle) {
      void pool.close();
    }
  }

  /** Aborts the request to the upstream, or prevents it from starting. */
  abort(exchange: GuardExchange): void {
    exchange.isAborted = true;
    exchange.forwarder?.drop();
    exchange.requestBody?.destroy();
    exchange.controller?.abort(abortError());
  }

  private headersFor(
    head: CallHead,
    deadline: number,
    upstream: string,
    now: number,
  ): string[] {
    const remaining = Math.max(0, deadline - now);
    const incarnation = this.dependencies.stateMachine.incarnationOf(upstream);
    return [
      ...this.protocol.callHeaders({head, remaining, deadline, incarnation}),
    ];
  }

  private get protocol(): UpstreamProtocol {
    return this.dependencies.protocol ?? LOCKPIN_UPSTREAM_PROTOCOL;
  }

  private dispatchHandler(
    exchange: GuardExchange,
    upstream: string,
  ): Dispatcher.DispatchHandler {
    let wasSent = false;
    const callId = exchange.id;
    return {
      onRequestStart: (controller) => {
        exchange.controller = controller;
        if (exchange.isAborted) {
          controller.abort(abortError());
          return;
        }
        wasSent = true;
      },
      onResponseStart: (controller, status, headers) => {
        if (status >= FIRST_FINAL_STATUS) {
          const answer = this.answerBegan(exchange, upstream, status, headers);
          const failure = failureOf(answer);
          if (failure !== undefined) {
            // What follows on this connection belongs to no call that is known.
            exchange.failure = failure;
            controller.abort(new Error(failure));
          }
        }
      },
      onResponseData: (controller, chunk) =>
        this.received(exchange, controller, chunk),
      onResponseEnd: () => {
        this.dependencies.pools.parsedConnection?.answerEnded();
        // The connection may serve the next call before this answer is taken.
        exchange.readOn?.();
        exchange.readOn = undefined;
        this.answered(exchange, upstream);
      },
      onResponseError: (_controller, error) => {
        if (isWholeNotModified(exchange.answer, error)) {
          this.answered(exchange, upstream);
          return;
        }
        exchange.failure ??= connectionFailure(error);
        this.dependencies.handleEvent({
          kind: 'upstream-failed',
          callId,
          wasSent,
        });
      },
    };
  }

  private answerBegan(
    exchange: GuardExchange,
    upstream: string,
    status: number,
    headers: IncomingHttpHeaders,
  ): UpstreamAnswer {
    const {protocol} = this;
    this.dependencies.pools.parsedConnection?.answerBegan();
    const classification = isAnswer(status, headers)
      ? protocol.classifyAnswer(exchange.head, status, headers)
      : 'no-answer';
    const answer = new UpstreamAnswer(
      status,
      headers,
      classification,
      exchange.head.repetition === 'once-only',
      protocol.buffersUnframed,
    );
    exchange.answer = answer;
    if (answer.comesFromUpstream) {
      this.noticeReceived(exchange, protocol.readNotice(headers));
    }
    if (!answer.isBuffered) {
      this.sendHead(exchange, answer, upstream);
    }
    return answer;
  }

  private noticeReceived(
    exchange: GuardExchange,
    notice: UpstreamNotice,
  ): void {
    exchange.notice = notice;
    this.dependencies.handleEvent({
      kind: 'upstream-stated',
      callId: exchange.id,
      notice,
    });
  }

  private received(
    exchange: GuardExchange,
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    const {answer} = exchange;
    this.dependencies.pools.parsedConnection?.bodyReceived(chunk.length);
    const taken = answer?.addChunk(chunk) ?? 'held';
    if (answer !== undefined && mustBeEmpty(answer.status)) {
      exchange.failure = NO_ANSWER;
      controller.abort(new Error(NO_ANSWER));
      return;
    }
    if (answer === undefined || taken === 'held') {
      return;
    }
    if (!answer.isPassedOn) {
      controller.abort(new Error('rejection of a call exceeds the buffer'));
      return;
    }
    const isFirst = taken === 'buffer-exceeded';
    if (isFirst) {
      this.sendHead(exchange, answer, exchange.upstream);
    }
    const bytes = isFirst ? answer.body() : chunk;
    const readsOn =
      exchange.forwarder?.push(bytes) ?? exchange.handlers.onChunk(bytes);
    if (!readsOn) {
      exchange.readOn = this.dependencies.pools.suspendReading();
    }
  }

  private answered(exchange: GuardExchange, upstream: string): void {
    const {answer} = exchange;
    const {pools, isUnderWay, onAnswered, handleEvent} = this.dependencies;
    if (answer === undefined || !isUnderWay(exchange)) {
      return;
    }
    const refusal = failureEvent(exchange.id, answer);
    if (refusal !== undefined) {
      handleEvent(refusal);
      return;
    }
    if (pools.isConnectionReset) {
      exchange.failure = 'answer-reset';
      handleEvent(interruptedEvent(exchange.id));
      return;
    }
    onAnswered(exchange, answer.status);
    handleEvent(answeredEvent(exchange.id, answer));
    if (answer.isBuffered) {
      this.sendHead(exchange, answer, upstream);
    } else if (exchange.forwarder === undefined) {
      exchange.handlers.onEnd();
    } else {
      exchange.forwarder.end();
    }
  }

  private sendHead(
    exchange: GuardExchange,
    answer: UpstreamAnswer,
    upstream: string,
  ): void {
    const now = this.dependencies.clock();
    answer.hasBegun = true;
    if (!answer.isBuffered) {
      this.dependencies.answers?.begin(exchange);
    }
    exchange.handlers.onAnswer({
      status: answer.status,
      headers: answer.headers,
      upstream,
      hint: this.dependencies.stateMachine.hintOf(now, upstream),
      ranMilliseconds: now - (exchange.sentAt ?? now),
      body: answer.isBuffered ? answer.body() : undefined,
      hasMore: !answer.isBuffered,
    });
  }
}

function abortError(): Error {
  return new Error('request aborted by the guard');
}

function requestBytes(head: CallHead): Buffer | null {
  return head.body === undefined || head.body.length === 0
    ? null
    : Buffer.from(head.body);
}
