// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The answer to one caller's request, as it is sent. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Refusal} from '@lockpin/types';
import {closeAfterAnswer} from '../connection/closingConnections.js';
import {hasLength, lengthOfWhole} from './answerLength.js';
import type {CallerConnections} from './callerConnections.js';
import type {CallerProtocol} from './callerProtocol.js';
import type {FinishingAnswers} from './finishingAnswers.js';
import type {AnswerHead} from './frames.js';
import type {CutCall} from './heldAnswer.js';
import type {UnsentAnswers} from './unsentAnswers.js';

/** Answers up to this size are written together with their headers. */
const SINGLE_WRITE_LIMIT_BYTES = 8 * 1024;

/** What an answer needs from its call. */
export interface CallerAnswerOptions {
  readonly response: ServerResponse;
  readonly method: string | undefined;
  readonly protocol: CallerProtocol;
  /** Called for an answer that only the end of its connection ends. */
  readonly onCloseDelimited: (response: ServerResponse) => void;
  /** The head is about to be written. */
  readonly onHead: () => void;
  /** The answer was written whole. */
  readonly onEnded: () => void;
}

/** Writes the head, the parts and the end of an answer, or a refusal. */
export class CallerAnswer {
  private isEnded = false;
  private awaitsDrain = false;
  private hasProgressed = false;
  /** Only the end of the connection shows the caller the end of the answer. */
  private isCloseDelimited = false;

  constructor(private readonly options: CallerAnswerOptions) {}

  /** The HTTP status sent to the caller; 0 when none was sent. */
  get status(): number {
    return this.hasBegun ? this.options.response.statusCode : 0;
  }

  /** Whether any part of the answer was sent to the caller. */
  get hasBegun(): boolean {
    return this.options.response.headersSent;
  }

  /** Whether nothing more is sent. */
  get isOver(): boolean {
    return this.isEnded;
  }

  /** Sends the head of an answer, with the body when it is complete. */
  sendHead(head: AnswerHead): void {
    const {response, method, protocol, onHead, onCloseDelimited} = this.options;
    const headers = [
      ...protocol.answerHeaders(head),
      ...lengthOfWhole(head, method),
    ];
    onHead();
    response.writeHead(head.status, headers);
    this.hasProgressed = true;
    if (!head.hasMore) {
      this.endWith(head.body);
      return;
    }
    // Without a length, Node.js answers in chunks, but not to HTTP/1.0.
    this.isCloseDelimited =
      !response.chunkedEncoding && !hasLength(head.headers);
    if (this.isCloseDelimited) {
      onCloseDelimited(response);
    }
  }

  /** Returns false if the caller has not taken all that was written. */
  sendChunk(bytes: Buffer): boolean {
    this.hasProgressed = true;
    return this.options.response.write(bytes);
  }

  sendEnd(): void {
    this.isEnded = true;
    this.options.response.end();
    this.options.onEnded();
  }

  /** Sends a refusal instead of an answer. */
  refuse(
    refusal: Refusal,
    requestId: string,
    extraHeaders: Readonly<Record<string, string>>,
  ): void {
    const {response, protocol, onHead, onEnded} = this.options;
    this.isEnded = true;
    onHead();
    protocol.refuse(response, refusal, requestId, extraHeaders);
    onEnded();
  }

  /** Ends the connection after the answer; see CallerConnections. */
  endConnection(
    connections: CallerConnections,
    request: IncomingMessage,
  ): void {
    connections.endAfter(request, this.options.response);
  }

  /** Breaks off the answer, so that the caller sees it as incomplete. */
  destroy(): void {
    const {response} = this.options;
    this.isEnded = true;
    // The connection may close later, after answers to earlier requests.
    closeAfterAnswer(response.req.socket);
    if (this.isCloseDelimited) {
      // A closed connection alone would look like the end of the answer.
      response.socket?.resetAndDestroy();
    }
    response.destroy();
  }

  /** Whether a part of the answer arrived since the last check, or is unsent. */
  takeProgress(): boolean {
    const isUnsent = this.options.response.writableLength > 0;
    const isProgressing = this.hasBegun && (this.hasProgressed || isUnsent);
    this.hasProgressed = false;
    return isProgressing;
  }

  /**
   * Calls back once when the caller can take more, however often it is called.
   */
  onDrain(resume: () => void): void {
    if (this.awaitsDrain) {
      return;
    }
    this.awaitsDrain = true;
    this.options.response.once('drain', () => {
      this.awaitsDrain = false;
      resume();
    });
  }

  /** Counts the bytes of the answer that the caller has not taken yet. */
  countUnsent(unsent: UnsentAnswers, call: CutCall): void {
    unsent.written(this.options.response, call);
  }

  /** Counts the answer, which has ended, until all of it is sent. */
  countUnfinished(finishing: FinishingAnswers): void {
    finishing.ended(this.options.response);
  }

  /**
   * Sends short bodies as text: Node.js writes text together with the headers.
   */
  private endWith(body: Uint8Array | undefined): void {
    const {response, onEnded} = this.options;
    this.isEnded = true;
    if (body !== undefined && body.length <= SINGLE_WRITE_LIMIT_BYTES) {
      const bytes = Buffer.from(body.buffer, body.byteOffset, body.length);
      response.end(bytes.toString('latin1'), 'latin1');
    } else {
      response.end(body);
    }
    onEnded();
  }
}
