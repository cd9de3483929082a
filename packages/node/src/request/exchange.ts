// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** One exchange with a guard, whether it is in this process or another. */

import type {
  AnswerHead,
  CallHead,
  CallRequest,
  RefusalFrame,
} from './frames.js';

/** What a guard does to the entry that called it. */
export interface ExchangeHandlers {
  /** There is a slot: say go, or send the rest of the body. */
  readonly onContinue: () => void;
  /** The call waits for a slot. */
  readonly onQueued: () => void;
  readonly onAnswer: (head: AnswerHead) => void;
  /** Returns false when the caller cannot take more for now. */
  readonly onChunk: (bytes: Buffer) => boolean;
  readonly onEnd: () => void;
  readonly onRefusal: (refusal: RefusalFrame) => void;
  /** The guard or the way to it broke. */
  readonly onLost: (wasSent: boolean) => void;
}

/** What an entry does to the guard it called. */
export interface Exchange {
  /** Returns false when no more should be sent until onContinue. */
  readonly sendChunk: (bytes: Buffer) => boolean;
  readonly sendEnd: () => void;
  /** Takes the slot that the guard keeps, for the request of the call. */
  readonly go: (request: CallRequest) => void;
  /** The caller can take more of the answer. */
  readonly resume: () => void;
  readonly cancel: () => void;
}

/** Begins an exchange. */
export type BeginExchange = (
  head: CallHead,
  handlers: ExchangeHandlers,
) => Exchange;
