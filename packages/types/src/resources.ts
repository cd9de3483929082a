// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The resources that operators write, as stored in the log. */

/** The kinds of resource an operator can write. */
export type ResourceKind =
  'Customer' | 'Service' | 'Upstream' | 'Route' | 'Token';

/** A customer: owns services and is isolated from other customers. */
export interface CustomerSpec {
  /** Share of a contended upstream relative to other customers; usually 1. */
  readonly fairShareWeight: number;
}

/** How failure detection trades speed against false ejections. */
export type Sensitivity = 'fast' | 'balanced' | 'careful';

/** A service: a set of interchangeable upstreams and their capacity floor. */
export interface ServiceSpec {
  /** Slots that ejection must leave in service. */
  readonly floorSlots: number;
  /** Slots that the operator plans to have in total; shown in status. */
  readonly targetSlots: number;
  /** Path on each upstream that reports its load; used as a hint only. */
  readonly loadReportPath: string;
  readonly sensitivity: Sensitivity;
  /** Host header that selects this service, besides the documented header. */
  readonly host: string;
  /** Salted hash of the credential required of callers; empty for none. */
  readonly callerCredentialHash: string;
}

/** Whether an upstream accepts new calls. */
export type UpstreamState = 'in-service' | 'draining';

/** One process of an upstream. */
export interface UpstreamIncarnation {
  /** May be reused by a later process. */
  readonly id: string;
  /** By the clock of its box, in milliseconds since 1970; 0 if not reported. */
  readonly startedAt: number;
}

/** One back end process of a service. */
export interface UpstreamSpec {
  /** IP address and port, such as 127.0.0.1:8080. */
  readonly address: string;
  readonly dataCentre: string;
  /** The box it runs on; its guard is the lockpin process of that box. */
  readonly box: string;
  /** Calls that it can process concurrently. */
  readonly slots: number;
  /** Maximum number of connections that it accepts. */
  readonly connections: number;
  readonly state: UpstreamState;
  /**
   * The process that calls are addressed to. Calls carry its id where it is
   * known, so that another process at the same address refuses them.
   */
  readonly incarnation?: UpstreamIncarnation;
  /**
   * End of its warm-up, in milliseconds since 1970; it answers slowly until
   * then.
   */
  readonly coldUntil?: number;
}

/**
 * Whether a kind of call may run more than once. A once-only call carries an
 * idempotency key by which its outcome can be queried; an at-most-once call has
 * none, so it is retried only if the first attempt certainly did not run.
 */
export type Repetition = 'repeatable' | 'once-only' | 'at-most-once';

/** The rules for one kind of call of a service. */
export interface RouteSpec {
  /** HTTP method, or * for any. */
  readonly method: string;
  readonly pathPrefix: string;
  readonly repetition: Repetition;
  /** Maximum time that a caller waits, in milliseconds. */
  readonly waitMilliseconds: number;
  /** From 0 (most urgent) to 9 (least urgent). */
  readonly priority: number;
  /** Retries allowed as a share of recent calls, 0 to 1. */
  readonly retryShare: number;
  /** Header that carries the once key of a once-only call. */
  readonly onceKeyHeader: string;
  /**
   * Maximum number of upstreams that one call may run on; absent means the
   * default.
   */
  readonly mostAttempts?: number;
  /** Target response time, in milliseconds; later answers are worth less. */
  readonly goalMilliseconds?: number;
}

/** An operator's credential; only a salted hash is stored. */
export interface TokenSpec {
  /** A customer's name, or * for the whole fleet. */
  readonly scope: string;
  readonly salt: string;
  readonly hash: string;
}

/** The spec type of each kind. */
export interface SpecByKind {
  readonly Customer: CustomerSpec;
  readonly Service: ServiceSpec;
  readonly Upstream: UpstreamSpec;
  readonly Route: RouteSpec;
  readonly Token: TokenSpec;
}

/** A resource in force and the version of the change that last wrote it. */
export interface Resource<K extends ResourceKind = ResourceKind> {
  readonly kind: K;
  /** Customer, customer/service or customer/service/name. */
  readonly name: string;
  readonly version: number;
  readonly spec: SpecByKind[K];
}

/** Any resource, discriminated by its kind. */
export type AnyResource = {
  readonly [K in ResourceKind]: Resource<K>;
}[ResourceKind];
