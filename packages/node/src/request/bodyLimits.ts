// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How much of a caller's body a node holds. */

/** Bodies up to this size are held so that the call can be sent again. */
export const HELD_BODY_BYTES = 64 * 1024;

/** Bodies of once-only calls are held whole, up to this size. */
export const ONCE_BODY_BYTES = 256 * 1024;
