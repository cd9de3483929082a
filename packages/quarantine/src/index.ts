// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detection and quarantine of requests that crash upstreams. */

export * from './crashDetector.js';
export * from './ownRuns.js';
export * from './quarantine.js';
export * from './quarantineLift.js';
export * from './runReport.js';
