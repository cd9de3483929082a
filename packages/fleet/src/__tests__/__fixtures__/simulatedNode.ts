// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A node of a simulated fleet. */

import type {DeclaredConfiguration} from '../../declaredConfiguration.js';
import type {FleetStateMachine} from '../../fleetStateMachine.js';
import type {FollowedPeers} from '../../nodeIdentity.js';

/** State of one node and of its process. */
export interface SimulatedNode {
  readonly box: string;
  readonly dataCentre: string;
  readonly address: string;
  stateMachine: FleetStateMachine;
  /** Counts the processes; messages to an earlier one are dropped. */
  processNumber: number;
  isUp: boolean;
  isRefusedByStore: boolean;
  /** Until when the process does not run. */
  frozenUntil: number;
  /** Difference of its clock from the virtual clock, in milliseconds. */
  readonly clockOffset: number;
  peers: FollowedPeers;
  readonly followers: Set<string>;
  calls: number;
  sequence: number;
  takesWork: boolean;
  /** Program version of its upstream. */
  program: string;
}

/** A configuration that declares one service. */
export function configuration(version: number): DeclaredConfiguration {
  const limits = {
    headerBytes: 1,
    bodyBytes: 1,
    headerMilliseconds: 1,
    idleMilliseconds: 1,
  };
  return {
    version,
    routes: [],
    services: [{name: 's', mostConnections: 9}],
    limits,
    customers: [],
  };
}

/** IP address of a box, by its number. */
export function hostOf(number: number): string {
  return `10.${number >> 8}.${number & 255}.1`;
}
