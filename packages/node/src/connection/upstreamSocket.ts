// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A connection to an upstream, from which undici reads answers. */

import {Socket} from 'node:net';
import {StatusLines} from './statusLines.js';

/**
 * Bytes that a connection may deliver besides the bodies of answers, since its
 * last part of an answer: status lines, headers, interim answers, the framing of
 * chunks, trailers, and bytes that belong to no answer. undici limits the headers
 * of one answer to a quarter of this, and nothing else.
 */
const MAXIMUM_OTHER_BYTES = 64 * 1024;

/** Chunks may have this many bytes of framing for each byte of a body. */
const FRAMING_BYTES_PER_BODY_BYTE = 16;

/** The failure of a call whose upstream sent bytes that are no answer. */
export const NO_ANSWER = 'no-answer';

type Chunks = Parameters<NonNullable<Socket['_writev']>>[0];

type WriteCallback = (error?: Error | null) => void;

/** The upstream sent bytes that are no answer, or no end of one. */
class NoAnswerError extends Error {
  readonly code = NO_ANSWER;
}

/** A connection whose reading can be suspended. */
export class UpstreamSocket extends Socket {
  private isSuspended = false;
  private otherBytes = 0;
  /** Set while an answer is awaited; undefined from its head on. */
  private statusLines: StatusLines | undefined;
  /** A request was sent whose answer has not ended. */
  private hasRequest = false;

  constructor(
    /** Called with bytes of this connection before undici parses them. */
    private readonly onRead: (socket: UpstreamSocket) => void,
    /** Called when undici has parsed what it read. */
    private readonly onParsed: () => void,
  ) {
    super();
    this.setNoDelay();
  }

  /**
   * Takes effect with the next read. Unlike a paused parser of undici, whose
   * assertions fail if the connection ends, a suspended connection may end or
   * be reset.
   */
  suspendReading(): void {
    this.isSuspended = true;
  }

  /** Reads on, but not within the handler of another connection's answer. */
  resumeReading(): void {
    process.nextTick(() => {
      this.isSuspended = false;
      if (!this.destroyed) {
        this.emit('readable');
      }
    });
  }

  /** The head of a final answer was parsed. */
  answerBegan(): void {
    this.statusLines = undefined;
    this.otherBytes = 0;
  }

  /** A part of the body was parsed. */
  bodyReceived(bytes: number): void {
    const allowed = bytes * (1 + FRAMING_BYTES_PER_BODY_BYTE);
    this.otherBytes = Math.max(0, this.otherBytes - allowed);
  }

  /** The answer was parsed to its end. */
  answerEnded(): void {
    this.hasRequest = false;
  }

  override _write(
    chunk: unknown,
    encoding: BufferEncoding,
    callback: WriteCallback,
  ): void {
    this.requestSent();
    super._write(chunk, encoding, callback);
  }

  override _writev(chunks: Chunks, callback: WriteCallback): void {
    this.requestSent();
    super._writev?.(chunks, callback);
  }

  override read(size?: number): unknown {
    // A size of 0 only makes the stream fill its buffer.
    if (size === 0) {
      return super.read(size);
    }
    const bytes = this.isSuspended ? null : (super.read(size) as Buffer | null);
    if (bytes === null) {
      this.onParsed();
      return null;
    }
    if (!this.accept(bytes)) {
      this.refuse();
      this.onParsed();
      return null;
    }
    this.onRead(this);
    return bytes;
  }

  /** Also called for the parts of a request after the first. */
  private requestSent(): void {
    if (!this.hasRequest) {
      this.hasRequest = true;
      this.statusLines = new StatusLines();
    }
  }

  private accept(bytes: Buffer): boolean {
    const isWithinBound = this.otherBytes <= MAXIMUM_OTHER_BYTES;
    this.otherBytes += bytes.length;
    return isWithinBound && (this.statusLines?.accept(bytes) ?? true);
  }

  /** Without a call, undici would fail those that wait for the connection. */
  private refuse(): void {
    const error = new NoAnswerError('the upstream sent no answer');
    this.destroy(this.hasRequest ? error : undefined);
  }
}
