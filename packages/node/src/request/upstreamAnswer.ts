// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** An answer as it comes from an upstream. */

import type {IncomingHttpHeaders} from 'node:http';
import {answerHeaders} from './headers.js';
import type {AnswerVerdict} from './upstreamProtocol.js';

/** Answers up to this size are held back until they are whole. */
const HELD_BACK_BYTES = 64 * 1024;

const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Gathers what is small, and what has to be kept for repeats. */
export class UpstreamAnswer {
  readonly headers: readonly string[];
  /** Only the end of its connection says where the answer ends. */
  readonly isUnframed: boolean;
  /** Nothing goes to the entry before the answer is whole. */
  isHeldBack: boolean;
  /** The entry has got the head already. */
  hasBegun = false;
  private readonly chunks: Buffer[] = [];
  private bytes = 0;

  constructor(
    readonly status: number,
    raw: IncomingHttpHeaders,
    readonly verdict: AnswerVerdict,
    private readonly isKept: boolean,
    holdsUnframed: boolean,
  ) {
    this.headers = answerHeaders(flatten(raw));
    const length = Number(raw['content-length'] ?? Number.NaN);
    const hasNoBody = NO_BODY_STATUSES.has(status);
    const isOpenEnded = Number.isNaN(length) && !hasNoBody;
    this.isUnframed = isOpenEnded && raw['transfer-encoding'] === undefined;
    this.isHeldBack =
      length <= HELD_BACK_BYTES || hasNoBody || (isOpenEnded && holdsUnframed);
  }

  /** Takes a part of the body; says whether it is held back. */
  take(chunk: Buffer): 'held' | 'too-long-to-hold' | 'passed-on' {
    this.bytes += chunk.length;
    const wasHeldBack = this.isHeldBack;
    if (wasHeldBack || (this.isKept && this.bytes <= HELD_BACK_BYTES)) {
      this.chunks.push(chunk);
    }
    if (wasHeldBack && this.bytes > HELD_BACK_BYTES) {
      this.isHeldBack = false;
      return 'too-long-to-hold';
    }
    return wasHeldBack ? 'held' : 'passed-on';
  }

  body(): Buffer {
    return this.chunks.length === 1
      ? (this.chunks[0] as Buffer)
      : Buffer.concat(this.chunks);
  }

  /** The answer to keep for repeats; undefined when there is none to keep. */
  stored(): {readonly status: number; readonly body: Buffer} | undefined {
    return this.isKept && this.bytes <= HELD_BACK_BYTES
      ? {status: this.status, body: this.body()}
      : undefined;
  }
}

/** Plain loops: this runs for every answer and showed in profiles. */
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
