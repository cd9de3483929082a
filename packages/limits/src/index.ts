// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Rate limits of customers, kept by all boxes together. */

export * from './rateLimit.js';
