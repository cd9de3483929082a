// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A node's knowledge of a declared fleet, and the routing of calls based on it.
 */

export * from './boxDirectory.js';
export * from './boxRecord.js';
export * from './callPriority.js';
export * from './checkConfiguration.js';
export * from './configurationInForce.js';
export * from './customerTable.js';
export * from './declaredConfiguration.js';
export * from './fleetBrain.js';
export * from './fleetMessages.js';
export type {FleetStart} from './fleetParts.js';
export * from './fleetRouting.js';
export * from './keyTrust.js';
export * from './nodeIdentity.js';
export * from './ownRecord.js';
export * from './ownUpstream.js';
export * from './peerAsking.js';
export * from './readerStanding.js';
export * from './recordReaders.js';
export * from './recordStore.js';
export * from './routeTable.js';
export * from './streamFollower.js';
export * from './weightedSpread.js';
