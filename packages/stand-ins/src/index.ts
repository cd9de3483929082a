// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
export * from './boxList.js';
export * from './http.js';
export * from './logService.js';
export * from './upstream.js';
export * from './silencingProxy.js';
