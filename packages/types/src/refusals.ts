// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Why a call got no answer from an upstream, and whether it ran. */

/** Whether a refused call ran: it never did and never will, or unknown. */
export type RefusalOutcome = 'not-run' | 'unknown';

/** Every reason for which lockpin refuses a call. */
export type RefusalReason =
  | 'service-unknown'
  | 'route-unknown'
  | 'credential-wrong'
  | 'key-missing'
  | 'key-unknown'
  | 'keys-outdated'
  | 'customer-over-limit'
  | 'limit-unknown'
  | 'request-malformed'
  /** The request crashed the upstreams that ran it. */
  | 'request-quarantined'
  | 'body-too-large'
  | 'no-upstream'
  | 'upstream-ejected'
  | 'upstream-draining'
  | 'upstream-unreachable'
  | 'upstream-failed'
  | 'upstream-busy'
  /** The upstream takes no more requests per second than it gets. */
  | 'upstream-over-limit'
  | 'upstream-doubted'
  | 'upstream-refused'
  | 'upstream-replaced'
  | 'reservation-expired'
  | 'guard-unreachable'
  | 'guard-lost'
  | 'guard-silent'
  | 'node-leaving'
  | 'not-ready'
  /** A service that the call is likely to call has no capacity for it. */
  | 'nested-busy'
  | 'queue-full'
  /** The node has as many connections of callers as it may. */
  | 'connections-full'
  /** Its body arrived more slowly than others that needed the memory. */
  | 'memory-exhausted'
  | 'customer-over-share'
  | 'retries-exhausted'
  | 'deadline-too-short'
  | 'deadline-passed'
  | 'caller-left'
  | 'once-key-missing'
  | 'once-key-malformed'
  | 'once-key-reused'
  | 'once-key-refused'
  | 'once-key-running'
  | 'once-already-ran'
  | 'once-home-unreachable'
  | 'once-home-replaced'
  | 'once-key-expired';

/** A call that got no answer from an upstream. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly outcome: RefusalOutcome;
  /** Delay before a retry, in milliseconds; 0 if no delay is known to help. */
  readonly retryAfterMilliseconds: number;
}
