// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What HTTP statuses say of a call. */

/** Statuses from here on say that the call failed at its upstream. */
export const FIRST_FAILED_STATUS = 500;
