// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node of a declared fleet is given from outside. */

import type {
  DeclaredCustomer,
  FleetRouting,
  KeyPolicy,
  ReadConfiguration,
  RecordStore,
} from '@lockpin/fleet';
import type {LimitRules} from '@lockpin/limits';
import type {RefusalReason, Result} from '@lockpin/types';
import type {CallerProtocol} from '../request/callerProtocol.js';
import type {UpstreamProtocol} from '../request/upstreamProtocol.js';
import type {Mechanism} from './mechanisms.js';

/** How many retries the whole fleet may make for a service. */
export interface FleetRetryLimit {
  /** Retries for each call of the window. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
  /** Retries of a window on top, for all nodes together. */
  readonly extra: number;
}

/** Settings of one node, checked by whoever read them. */
export interface FleetNodeSettings {
  readonly box: string;
  readonly dataCentre: string;
  /** All that boxes may name; any where none are declared. */
  readonly dataCentres?: readonly string[];
  /** The service whose upstream runs on this box; calls begin in its name. */
  readonly service: string;
  readonly callerAddress: string;
  /** Where other nodes reach this one. */
  readonly peerAddress: string;
  /** Where this node listens for them; differs behind a forwarder. */
  readonly peerListenAddress: string;
  /** Where the metrics are read; empty for nowhere. */
  readonly metricsAddress: string;
  /** From the signal to stop until the process is killed, in milliseconds. */
  readonly stopLimitMilliseconds: number;
  readonly retries: FleetRetryLimit;
  readonly keys: KeyPolicy;
  /** How exactly customers' limits are to be kept. */
  readonly limits: LimitRules;
  /** The fleet starts for the first time; false for every later process. */
  readonly isFirstStart: boolean;
  /** Mechanisms that are off, to measure what they are worth; none as a rule. */
  readonly switchedOff: readonly Mechanism[];
}

/** What the caller's side may ask of the fleet. */
export interface FleetKnowledge {
  /** Undefined before any configuration is known. */
  readonly routing: () => FleetRouting | undefined;
  readonly settings: () => FleetNodeSettings;
  /**
   * The customer that a caller acts for, by the hash of the key that it showed; see
   * keyHash. Undefined where none is asked for.
   */
  readonly authorize: (
    hash: string | undefined,
    isPublic: boolean,
  ) => Result<DeclaredCustomer | undefined, RefusalReason>;
}

/** Functions that differ between deployments. */
export interface FleetPorts {
  /** As they were at the start. */
  readonly settings: FleetNodeSettings;
  readonly store: RecordStore;
  readonly readConfiguration: ReadConfiguration;
  readonly callerProtocol: (fleet: FleetKnowledge) => CallerProtocol;
  readonly upstreamProtocol: UpstreamProtocol;
  /** salt:hash of the operators' token; absent or empty when they may ask nothing. */
  readonly operatorTokenHash?: string;
}
