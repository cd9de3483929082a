// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detects failing, slow and hanging upstreams from the calls they serve. */

export * from './callStatistics.js';
export * from './cumulativeSum.js';
export * from './customerEvidence.js';
export * from './doubt.js';
export * from './ejectionCycle.js';
export * from './grayDetector.js';
export * from './hangEvidence.js';
export * from './peerBaseline.js';
export * from './rejectionShare.js';
export * from './sensitivity.js';
export * from './slownessTest.js';
