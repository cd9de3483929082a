// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** An exchange with a guard, in this process or on another box. */

import type {
  AnswerHead,
  CallHead,
  CallRequest,
  RefusalFrame,
} from './frames.js';

/** Callbacks from the guard to the entry. */
export interface ExchangeHandlers {
  /** A slot is reserved: send the go signal or the rest of the body. */
  readonly onContinue: () => void;
  /** The call is queued for a slot. */
  readonly onQueued: () => void;
  readonly onAnswer: (head: AnswerHead) => void;
  /** Returns false to pause until resume is called. */
  readonly onChunk: (bytes: Buffer) => boolean;
  readonly onEnd: () => void;
  readonly onRefusal: (refusal: RefusalFrame) => void;
  /** The guard or the connection to it failed. */
  readonly onLost: (wasSent: boolean) => void;
}

/** Operations of the entry on the guard. */
export interface Exchange {
  /** Returns false to pause until onContinue is called. */
  readonly sendChunk: (bytes: Buffer) => boolean;
  readonly sendEnd: () => void;
  /** Sends the request, which uses the slot that the guard has reserved. */
  readonly go: (request: CallRequest) => void;
  /** Continues a paused answer. */
  readonly resume: () => void;
  readonly cancel: () => void;
}

/** Starts an exchange. */
export type BeginExchange = (
  head: CallHead,
  handlers: ExchangeHandlers,
) => Exchange;
