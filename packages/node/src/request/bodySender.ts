// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Sends the streamed body of one call, once, to the guard that asks for it. */

import type {IncomingMessage} from 'node:http';
import type {Exchange} from './exchange.js';

/** Where a body goes. */
type BodyExchange = Pick<Exchange, 'sendChunk' | 'sendEnd'>;

/** The body of a request, and what becomes of it. */
export interface BodySenderOptions {
  readonly request: IncomingMessage;
  /** Largest body that callers may send, also in chunks. */
  readonly largestBytes: number;
  /** The first part is about to go out. */
  readonly onBegun: () => void;
  /** The body is larger than it may be; nothing more of it goes out. */
  readonly onTooLarge: () => void;
}

/**
 * The part of a body that was sent stays with the exchange that got it: another
 * exchange gets the whole body or nothing of it.
 */
export class BodySender {
  /**
   * `unsent`: nothing has gone out. `sending`: the exchange gets all of it.
   * `over`: it has gone out, or its exchange has ended.
   */
  private phase: 'unsent' | 'sending' | 'over' = 'unsent';
  private exchange: BodyExchange | undefined;
  private bytes = 0;

  constructor(private readonly options: BodySenderOptions) {}

  /** Bytes of the body that were read from the caller. */
  get takenBytes(): number {
    return this.bytes;
  }

  /** An exchange can take the body, or more of it. */
  continueTo(exchange: BodyExchange): void {
    const isOther = this.exchange !== undefined && this.exchange !== exchange;
    if (this.phase === 'over' || (this.phase === 'sending' && isOther)) {
      return;
    }
    const {request} = this.options;
    if (this.exchange === undefined) {
      request.on('data', this.send);
      request.on('end', this.sendEnd);
    }
    this.exchange = exchange;
    if (request.readableEnded) {
      this.sendEnd();
    } else {
      request.resume();
    }
  }

  /** The exchange has ended; a body that is unsent waits for another one. */
  detach(): void {
    if (this.exchange !== undefined) {
      this.options.request.pause();
      this.stopListening();
    }
    if (this.phase === 'sending') {
      this.phase = 'over';
    }
  }

  private readonly send = (chunk: Buffer): void => {
    const {request, largestBytes, onTooLarge} = this.options;
    this.bytes += chunk.length;
    if (this.bytes > largestBytes) {
      this.detach();
      onTooLarge();
      return;
    }
    this.begin();
    if (this.exchange?.sendChunk(chunk) === false) {
      request.pause();
    }
  };

  private readonly sendEnd = (): void => {
    this.begin();
    this.phase = 'over';
    this.exchange?.sendEnd();
    this.stopListening();
  };

  private begin(): void {
    if (this.phase === 'unsent') {
      this.phase = 'sending';
      this.options.onBegun();
    }
  }

  private stopListening(): void {
    const {request} = this.options;
    request.off('data', this.send);
    request.off('end', this.sendEnd);
    this.exchange = undefined;
  }
}
