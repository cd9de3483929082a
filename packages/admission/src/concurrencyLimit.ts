// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Limits the calls that run on an upstream at once. */

/** Adapts the number of concurrent calls to what the upstream accepts. */
export interface ConcurrencyLimit {
  /** Concurrent calls allowed now; at least one. */
  readonly current: number;
  /**
   * When rejections last lowered the limit, in milliseconds; undefined while it
   * is not lowered.
   */
  readonly loweredAt: number | undefined;
  /** The operator changed the slots. */
  readonly setSlots: (slots: number) => void;
  /** Brings the limit up to date with the time, in milliseconds. */
  readonly advance: (now: number) => void;
  /** A call was sent to the upstream. */
  readonly sent: (callId: string) => void;
  /** The upstream ran a call; it may have failed. */
  readonly accepted: (now: number, callId: string, isSuccess: boolean) => void;
  /** The upstream answered that it is overloaded. */
  readonly shed: (now: number, callId: string, startedAt: number) => void;
  /** The upstream refused a call without running it. */
  readonly rejected: (now: number, callId: string) => void;
  /** A call no longer holds its slot. */
  readonly ended: (callId: string) => void;
  /** The upstream has returned to service and is cold. */
  readonly resetToCold: () => void;
}

/** Creates the limit of an upstream with this many slots. */
export type CreateConcurrencyLimit = (
  slots: number,
  isCold: boolean,
) => ConcurrencyLimit;
