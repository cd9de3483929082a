// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
export * from './onceKey.js';
export * from './onceLedger.js';
