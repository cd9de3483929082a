// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Whether a call's body can be sent once more. Every way to a second attempt
 * asks here, whatever ended the attempt before it.
 */

import type {EntryCall} from './entryMessages.js';

/** What is known of a call's body. */
export interface BodyState {
  readonly call: Pick<EntryCall, 'isReplayable'>;
  /** A part of a body that is not held was given to a guard. */
  readonly hasBodyBegun: boolean;
}

/**
 * Whether a further attempt gets the whole body, once the current attempt is
 * over: the body is held, or no byte of it has gone out.
 */
export function canBeSentAgain({call, hasBodyBegun}: BodyState): boolean {
  return call.isReplayable || !hasBodyBegun;
}

/** Whether two attempts beside each other both get the whole body. */
export function canBeSentTwice({call}: BodyState): boolean {
  return call.isReplayable;
}
