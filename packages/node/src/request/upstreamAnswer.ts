// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** An answer while it is received from an upstream. */

import type {IncomingHttpHeaders} from 'node:http';
import {mustBeEmpty} from './answerSyntax.js';
import {answerHeaders} from './headers.js';
import type {AnswerClassification} from './upstreamProtocol.js';

/** Answers up to this size are buffered until they are complete. */
const ANSWER_BUFFER_LIMIT_BYTES = 64 * 1024;

/** Answers that are given to the caller; others only end an attempt. */
const PASSED_ON: ReadonlySet<AnswerClassification> = new Set([
  'answer',
  'overloaded',
]);

/** Answers that were certainly given by the intended upstream. */
const COMES_FROM_UPSTREAM: ReadonlySet<AnswerClassification> = new Set([
  'answer',
  'overloaded',
  'not-run',
]);

/** Statuses whose answers have no body. */
export const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Buffers short answers, and answers to be stored for repeats. */
export class UpstreamAnswer {
  readonly headers: readonly string[];
  /** Whether the answer may be sent to the entry at all. */
  readonly isPassedOn: boolean;
  /** Nothing is sent to the entry before the answer is complete. */
  isBuffered: boolean;
  /** The head was sent to the entry. */
  hasBegun = false;
  private readonly chunks: Buffer[] = [];
  private bytes = 0;

  constructor(
    readonly status: number,
    raw: IncomingHttpHeaders,
    readonly classification: AnswerClassification,
    private readonly isStored: boolean,
    buffersUnframed: boolean,
  ) {
    this.headers = answerHeaders(flatten(raw));
    const length = Number(raw['content-length'] ?? Number.NaN);
    const hasNoBody = NO_BODY_STATUSES.has(status);
    const isOpenEnded = Number.isNaN(length) && !hasNoBody;
    this.isPassedOn = PASSED_ON.has(classification);
    this.isBuffered =
      !this.isPassedOn ||
      length <= ANSWER_BUFFER_LIMIT_BYTES ||
      hasNoBody ||
      mustBeEmpty(status) ||
      (isOpenEnded && buffersUnframed);
  }

  get comesFromUpstream(): boolean {
    return COMES_FROM_UPSTREAM.has(this.classification);
  }

  /** Adds a part of the body; tells whether it is buffered. */
  addChunk(chunk: Buffer): 'held' | 'buffer-exceeded' | 'not-buffered' {
    this.bytes += chunk.length;
    const wasBuffered = this.isBuffered;
    if (
      wasBuffered ||
      (this.isStored && this.bytes <= ANSWER_BUFFER_LIMIT_BYTES)
    ) {
      this.chunks.push(chunk);
    }
    if (wasBuffered && this.bytes > ANSWER_BUFFER_LIMIT_BYTES) {
      this.isBuffered = false;
      return 'buffer-exceeded';
    }
    return wasBuffered ? 'held' : 'not-buffered';
  }

  body(): Buffer {
    return this.chunks.length === 1
      ? (this.chunks[0] as Buffer)
      : Buffer.concat(this.chunks);
  }

  /** The answer to store for repeats; undefined when none is to be stored. */
  stored(): {readonly status: number; readonly body: Buffer} | undefined {
    return this.isStored && this.bytes <= ANSWER_BUFFER_LIMIT_BYTES
      ? {status: this.status, body: this.body()}
      : undefined;
  }
}

/** Uses plain loops: it runs for every answer and was visible in profiles. */
function flatten(headers: IncomingHttpHeaders): string[] {
  const flat: string[] = [];
  for (const name in headers) {
    const value = headers[name];
    if (Array.isArray(value)) {
      value.forEach((one) => flat.push(name, one));
    } else {
      flat.push(name, value ?? '');
    }
  }
  return flat;
}
