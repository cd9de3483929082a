// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Requests that end the upstreams that run them, and how long they are kept out. */

export * from './crashWatch.js';
export * from './ownRuns.js';
export * from './quarantine.js';
export * from './quarantineLift.js';
export * from './runReport.js';
