// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Constructors for results. */

/** Wraps a value. */
export function success<T>(value: T): {readonly ok: true; readonly value: T} {
  return {ok: true, value};
}

/** Wraps a typed failure. */
export function failure<F>(value: F): {
  readonly ok: false;
  readonly failure: F;
} {
  return {ok: false, failure: value};
}
