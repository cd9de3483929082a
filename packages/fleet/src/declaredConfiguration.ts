// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The configuration that operators declare as a whole, under one version. */

import type {RateLimit} from '@lockpin/limits';
import type {Resource} from '@lockpin/types';

/** A service that receives a share of a route's calls. */
export interface Destination {
  readonly service: string;
  /** Relative to the other destinations of the route. */
  readonly weight: number;
}

/** A class of calls, selected by host and path. */
export interface DeclaredRoute {
  readonly host: string;
  readonly rules: Resource<'Route'>;
  /** At least one. */
  readonly destinations: readonly Destination[];
  /** Anyone may call it without a key. */
  readonly isPublic: boolean;
}

/** A customer whose callers present one of its keys. */
export interface DeclaredCustomer {
  readonly name: string;
  /** See keyHash; the keys themselves stay in the operators' document. */
  readonly keyHashes: readonly string[];
  /** 0 is the most urgent; ranks above the priorities of routes. */
  readonly priority: number | undefined;
  /** Across all boxes together; undefined for no limit. */
  readonly limit: RateLimit | undefined;
}

/** A service as declared by operators; its upstreams announce themselves. */
export interface DeclaredService {
  readonly name: string;
  /** Maximum number of connections that each of its upstreams accepts. */
  readonly mostConnections: number;
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/**
 * Everything that operators declare. A higher version replaces a lower one
 * entirely.
 */
export interface DeclaredConfiguration {
  readonly version: number;
  readonly routes: readonly DeclaredRoute[];
  readonly services: readonly DeclaredService[];
  readonly limits: CallerLimits;
  /** If empty, callers need no key. */
  readonly customers: readonly DeclaredCustomer[];
  /** Fields with values that are not known; they do not invalidate it. */
  readonly warnings?: readonly ConfigurationProblem[];
}

/** The field of an operator's document that is invalid, and why. */
export interface ConfigurationProblem {
  readonly field: string;
  readonly problem: string;
}
