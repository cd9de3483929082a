// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * A node's view of a declared fleet, and the routing of calls based on it.
 */

export * from './boxDirectory.js';
export * from './boxRecord.js';
export * from './callPriority.js';
export * from './checkConfiguration.js';
export * from './configurationInForce.js';
export * from './customerTable.js';
export * from './declaredConfiguration.js';
export * from './fleetStateMachine.js';
export * from './fleetMessages.js';
export type {FleetOptions as FleetStart} from './fleetComponents.js';
export * from './fleetRouting.js';
export * from './keyPolicy.js';
export * from './nodeIdentity.js';
export * from './ownRecord.js';
export * from './ownUpstream.js';
export * from './peerSelector.js';
export * from './readerStatus.js';
export * from './readerSelection.js';
export * from './recordStore.js';
export * from './routeTable.js';
export * from './streamFollower.js';
export * from './weightedRoundRobin.js';
