// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Typed failures, discriminated by kind. */

import type {FieldProblem} from './records.js';

/** A result that is either a value or a typed failure. */
export type Result<T, F> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly failure: F};

/** Failures of a request to the platform's log. */
export type LogFailure =
  | {readonly kind: 'log-unreachable'; readonly detail: string}
  | {readonly kind: 'log-busy'; readonly retryAfterMilliseconds: number}
  | {readonly kind: 'records-expired'; readonly first: number};

/** Failure responses of the operators' API. */
export type ApiFailure =
  | {
      readonly kind: 'invalid';
      readonly problems: readonly FieldProblem[];
    }
  | {
      readonly kind: 'conflict';
      readonly resource: string;
      readonly basedOn: number;
      readonly winnerVersion: number;
      readonly winnerChangeId: string;
    }
  | {readonly kind: 'not-found'; readonly resource: string}
  | {readonly kind: 'token-wrong'}
  | {readonly kind: 'out-of-scope'; readonly scope: string}
  | {readonly kind: 'version-expired'; readonly oldest: number}
  | {readonly kind: 'not-ready'}
  | {
      readonly kind: 'log-unavailable';
      /** not-published: never takes effect; unknown: may still take effect. */
      readonly outcome: 'not-published' | 'unknown';
      readonly changeId: string;
    };
