// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Ejection permits, which keep the capacity of a service above its floor. */

export * from './holderTable.js';
export * from './messages.js';
export * from './permitHolder.js';
