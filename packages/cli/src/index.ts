// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
export * from './apiClient.js';
export * from './exitCodes.js';
export * from './manifests.js';
export * from './run.js';
