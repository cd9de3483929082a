// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Size limits for the request bodies that a node buffers. */

/** Bodies up to this size are buffered so that the call can be retried. */
export const BODY_BUFFER_LIMIT_BYTES = 64 * 1024;

/** Bodies of once-only calls are buffered completely, up to this size. */
export const ONCE_BODY_LIMIT_BYTES = 256 * 1024;
