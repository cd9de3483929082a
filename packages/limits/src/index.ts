// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Distributed rate limiting of customers. */

export * from './limitClient.js';
export * from './limitMessages.js';
export * from './poolLinks.js';
export * from './poolPlacement.js';
export * from './rateLimit.js';
export * from './tokenPool.js';
