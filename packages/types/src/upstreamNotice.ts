// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What upstreams state about themselves in their answers. */

/** The statements of one answer. */
export interface UpstreamNotice {
  /**
   * Requests per second that the upstream takes from all boxes together;
   * undefined while it states no limit.
   */
  readonly requestsPerSecond: number | undefined;
  /** The upstream is about to stop and takes no further requests. */
  readonly isLeaving: boolean;
  /** The value of a limit that is not a number; undefined if there is none. */
  readonly unreadableLimit: string | undefined;
}

/** What nodes tell each other about the statements of an upstream's process. */
export interface KnownNotice {
  /** The process as text; empty if upstreams announce no identity. */
  readonly incarnation: string;
  /** See UpstreamNotice. */
  readonly requestsPerSecond: number | undefined;
  /** See UpstreamNotice. */
  readonly isLeaving: boolean;
}
