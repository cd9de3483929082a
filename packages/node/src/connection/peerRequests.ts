// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Single requests to a peer on one shared connection. Each message starts with
 * a number in four bytes, by which a reply finds its request.
 */

import type {PeerStream} from './peerStream.js';

const NUMBER_BYTES = 4;

/** Numbers start again at 1 after the largest unsigned 32-bit integer. */
const LARGEST_NUMBER = 2 ** 32 - 1;

const REPLY_DEADLINE_MILLISECONDS = 2500;

/** Time without requests after which the connection is closed. */
const IDLE_MILLISECONDS = 60_000;

/** How a request ended. */
export type RequestEnd = 'replied' | 'unanswered' | 'failed';

/** Called with the reply if there is one. */
export type OnReply = (end: RequestEnd, reply: Buffer | undefined) => void;

interface PendingRequest {
  readonly done: OnReply;
  readonly timer: NodeJS.Timeout;
}

/** Sends requests to one address and matches the replies. */
export class PeerRequests {
  private readonly pending = new Map<number, PendingRequest>();
  private stream: PeerStream | undefined;
  private serial = 0;
  private idleTimer: NodeJS.Timeout | undefined;
  private isRetired = false;

  constructor(private readonly open: () => PeerStream) {}

  /** Sends a request; `done` is called exactly once. */
  send(request: Buffer, done: OnReply): void {
    clearTimeout(this.idleTimer);
    this.stream ??= this.connect();
    this.serial = (this.serial % LARGEST_NUMBER) + 1;
    const number = this.serial;
    const timer = setTimeout(
      () => this.settle(number, 'unanswered', undefined),
      REPLY_DEADLINE_MILLISECONDS,
    );
    this.pending.set(number, {done, timer});
    this.stream.write(numberedMessage(number, request));
  }

  /** Closes the connection since a reply is malformed; other requests fail. */
  reject(): void {
    this.stream?.reject();
  }

  /** Closes the connection once all requests have ended. */
  retire(): void {
    this.isRetired = true;
    this.scheduleEnd();
  }

  private connect(): PeerStream {
    const stream = this.open();
    const onOver = (): void => {
      // A connection opened later is not affected.
      if (this.stream === stream) {
        this.stream = undefined;
        this.failAll();
      }
    };
    stream.handle({
      onMessage: (message) =>
        this.settle(
          numberOf(message),
          'replied',
          message.subarray(NUMBER_BYTES),
        ),
      onEnd: onOver,
      onError: onOver,
      onDrain: () => undefined,
    });
    return stream;
  }

  private settle(
    number: number,
    end: RequestEnd,
    reply: Buffer | undefined,
  ): void {
    const found = this.pending.get(number);
    if (found === undefined) {
      return;
    }
    this.pending.delete(number);
    clearTimeout(found.timer);
    this.scheduleEnd();
    found.done(end, reply);
  }

  private failAll(): void {
    [...this.pending.keys()].forEach((number) =>
      this.settle(number, 'failed', undefined),
    );
  }

  private scheduleEnd(): void {
    clearTimeout(this.idleTimer);
    if (this.pending.size > 0) {
      return;
    }
    if (this.isRetired) {
      this.endStream();
      return;
    }
    this.idleTimer = setTimeout(() => this.endStream(), IDLE_MILLISECONDS);
    this.idleTimer.unref();
  }

  private endStream(): void {
    const {stream} = this;
    this.stream = undefined;
    stream?.end();
  }
}

/** Serves the requests of one connection. */
export class ServedRequests {
  private pendingCount = 0;
  private isDraining = false;

  constructor(
    private readonly stream: PeerStream,
    answer: (request: Buffer, reply: (bytes: Buffer) => void) => void,
  ) {
    stream.handle({
      onMessage: (message) => {
        const number = numberOf(message);
        if (number === 0) {
          return;
        }
        this.pendingCount += 1;
        answer(message.subarray(NUMBER_BYTES), (bytes) => {
          stream.write(numberedMessage(number, bytes));
          this.pendingCount -= 1;
          this.endIfDrained();
        });
      },
      onEnd: () => this.drain(),
      onError: () => undefined,
      onDrain: () => undefined,
    });
  }

  /** Ends the stream once all requests have their replies. */
  drain(): void {
    this.isDraining = true;
    this.endIfDrained();
  }

  private endIfDrained(): void {
    if (this.isDraining && this.pendingCount === 0) {
      this.stream.end();
    }
  }
}

function numberedMessage(number: number, bytes: Buffer): Buffer {
  const message = Buffer.allocUnsafe(NUMBER_BYTES + bytes.length);
  message.writeUInt32BE(number, 0);
  bytes.copy(message, NUMBER_BYTES);
  return message;
}

/** Messages that are too short have the number 0, which no request uses. */
function numberOf(message: Buffer): number {
  return message.length < NUMBER_BYTES ? 0 : message.readUInt32BE(0);
}
