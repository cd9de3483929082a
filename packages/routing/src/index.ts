// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
export * from './capacityProspects.js';
export * from './chooseByScore.js';
export * from './chooseSubset.js';
export * from './chooseUpstream.js';
export * from './everyWindowRetryBudget.js';
export * from './fleetCapacity.js';
export * from './linkAvoidance.js';
export * from './loadHint.js';
export * from './planOffer.js';
export * from './recentDurations.js';
export * from './retriesLeft.js';
export * from './retryBudget.js';
export * from './slidingMinimum.js';
export * from './typicalDurations.js';
export * from './noticeMemory.js';
export type {UnusedReason} from './unusedReason.js';
export * from './upstreamLoads.js';
export * from './windowedRetryBudget.js';
