// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** HTTP status codes. */

/** Status codes from here on mean that the call failed at its upstream. */
export const FIRST_SERVER_ERROR_STATUS = 500;
