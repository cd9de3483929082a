// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A configuration that its operators declare as a whole, at one version. */

import type {RateLimit} from '@lockpin/limits';
import type {Resource} from '@lockpin/types';

/** A service that calls of a route go to, with its share of them. */
export interface Destination {
  readonly service: string;
  /** Relative to the other destinations of the route. */
  readonly weight: number;
}

/** A kind of call, found by host and path. */
export interface DeclaredRoute {
  readonly host: string;
  readonly rules: Resource<'Route'>;
  /** At least one. */
  readonly destinations: readonly Destination[];
  /** Anyone may call it, without a key. */
  readonly isPublic: boolean;
}

/** A customer whose callers show one of its keys. */
export interface DeclaredCustomer {
  readonly name: string;
  /** See keyHash; the keys themselves stay in the operators' document. */
  readonly keyHashes: readonly string[];
  /** 0 is the most urgent; goes before what the routes say. */
  readonly priority: number | undefined;
  /** Over all boxes together; undefined for none. */
  readonly limit: RateLimit | undefined;
}

/** A service as its operators declare it; its upstreams announce themselves. */
export interface DeclaredService {
  readonly name: string;
  /** Connections that each of its upstreams accepts at the most. */
  readonly mostConnections: number;
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** All that operators declare. A higher version replaces a lower one whole. */
export interface DeclaredConfiguration {
  readonly version: number;
  readonly routes: readonly DeclaredRoute[];
  readonly services: readonly DeclaredService[];
  readonly limits: CallerLimits;
  /** Where there are none, callers need no key. */
  readonly customers: readonly DeclaredCustomer[];
}

/** What is wrong with a document that operators wrote. */
export interface ConfigurationProblem {
  readonly field: string;
  readonly problem: string;
}
