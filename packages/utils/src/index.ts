// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
export * from './addresses.js';
export * from './boundedJson.js';
export * from './canonicalJson.js';
export * from './suspendAwareClock.js';
export * from './tickMonitor.js';
export * from './hashing.js';
export * from './heldBytes.js';
export * from './hybridClock.js';
export * from './incarnations.js';
export * from './positions.js';
export * from './readerRank.js';
export * from './results.js';
export * from './ringBuffer.js';
export * from './seededRandom.js';
export * from './steadyClock.js';
export * from './statuses.js';
export * from './wasReset.js';
