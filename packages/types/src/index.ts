// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
export type * from './failures.js';
export type * from './positions.js';
export type * from './random.js';
export type * from './records.js';
export type * from './refusals.js';
export type * from './resources.js';
export type * from './timeline.js';
export type * from './upstreamNotice.js';
