// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Ports of a node in a declared fleet, implemented by each deployment. */

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

/** Retry budget of a service, for the whole fleet. */
export interface FleetRetryLimit {
  /** Retries allowed for each call in the window. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
  /** Additional retries allowed in each window, for all nodes together. */
  readonly extra: number;
}

/** Settings of one node, validated by the deployment. */
export interface FleetNodeSettings {
  readonly box: string;
  readonly dataCentre: string;
  /** Data centres that boxes may belong to; any if none are declared. */
  readonly dataCentres?: readonly string[];
  /**
   * The service whose upstream runs on this box and makes the calls that start
   * here.
   */
  readonly service: string;
  readonly callerAddress: string;
  /** Address at which other nodes reach this one. */
  readonly peerAddress: string;
  /**
   * Address on which this node listens for other nodes; differs behind a proxy.
   */
  readonly peerListenAddress: string;
  /** Address of the metrics endpoint; empty for none. */
  readonly metricsAddress: string;
  /** Time from the stop signal until the process is killed, in milliseconds. */
  readonly stopLimitMilliseconds: number;
  /** Memory limit of this process in MB; the default if absent. */
  readonly memoryMegabytes?: number | undefined;
  /** Limit of file descriptors of this process; the default if absent. */
  readonly descriptors?: number | undefined;
  readonly retries: FleetRetryLimit;
  readonly keys: KeyPolicy;
  /** Accuracy with which customers' limits are enforced. */
  readonly limits: LimitRules;
  /**
   * Whether the fleet starts for the first time; false for every later process.
   */
  readonly isFirstStart: boolean;
  /** Mechanisms switched off to measure their effect; normally none. */
  readonly switchedOff: readonly Mechanism[];
}

/** Information about the fleet for the caller protocol. */
export interface FleetView {
  /** Returns undefined before any configuration is known. */
  readonly routing: () => FleetRouting | undefined;
  readonly settings: () => FleetNodeSettings;
  /**
   * Returns the customer that a caller acts for, by the hash of the caller's
   * key (see keyHash). The customer is undefined where no key is required.
   */
  readonly authorize: (
    hash: string | undefined,
    isPublic: boolean,
  ) => Result<DeclaredCustomer | undefined, RefusalReason>;
}

/** Settings and functions that differ between deployments. */
export interface FleetPorts {
  /** Settings at the start. */
  readonly settings: FleetNodeSettings;
  readonly store: RecordStore;
  readonly readConfiguration: ReadConfiguration;
  readonly callerProtocol: (fleet: FleetView) => CallerProtocol;
  readonly upstreamProtocol: UpstreamProtocol;
  /**
   * salt:hash of the operators' token; absent or empty to reject all their
   * requests.
   */
  readonly operatorTokenHash?: string;
  /** Called for an address on which this process can never listen. */
  readonly onAddressUnusable?: (purpose: string) => void;
}
