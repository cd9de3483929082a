// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a guard knows of a call that it is offered. */

import type {KnownNotice, Repetition} from '@lockpin/types';

/** A call as offered to the guard. */
export interface GuardCall {
  readonly id: string;
  /** Id of the caller's request, by which nested calls name it. */
  readonly requestId?: string;
  readonly service: string;
  /** Undefined for a once-only call, whose home chooses a local upstream. */
  readonly upstream: string | undefined;
  readonly customer: string;
  readonly weight: number;
  /** Name of the route, which identifies the kind of call. */
  readonly route: string;
  readonly repetition: Repetition;
  readonly priority: number;
  /** By the local clock, in milliseconds since 1970. */
  readonly deadline: number;
  /** 1 for the first attempt. */
  readonly attempt: number;
  readonly retryShare: number;
  /** A first attempt at a call that may be the caller's own repeat. */
  readonly mayBeRepeat?: boolean;
  readonly onceKey: string | undefined;
  /**
   * Equal for all requests that an upstream cannot distinguish. Empty if
   * unknown, as for a call that waits for its go.
   */
  readonly requestDigest: string;
  /** By the local clock: a later answer is of less use to the caller. */
  readonly usefulUntil?: number;
  /** By the local clock: a call without a slot by then returns to its entry. */
  readonly startBy?: number;
  /** The call may only run after the entry's go; see Attempt. */
  readonly needsGo?: boolean;
  /** False if the entry prefers another upstream to waiting here. */
  readonly mayWait?: boolean;
  /** The entry has no better upstream, and accepts a doubted one. */
  readonly mayRunDoubted?: boolean;
  /**
   * No upstream has a place for the call in time, and the entry accepts a doubted
   * one that has had no call for a while.
   */
  readonly isTrial?: boolean;
  /** Usual duration of such calls, as observed by the entry. */
  readonly expectedMilliseconds?: number;
  /** The latest notice of the upstream that reached the entry, if any. */
  readonly knownNotice?: KnownNotice;
  /** A running call made it; its customer and priority are those of the root. */
  readonly isNested?: boolean;
}
