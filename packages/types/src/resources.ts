// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The resources that operators write, as they stand in the log. */

/** The kinds of resource an operator can write. */
export type ResourceKind =
  'Customer' | 'Service' | 'Upstream' | 'Route' | 'Token';

/** A customer: an owner of services that trusts no other customer. */
export interface CustomerSpec {
  /** Share of a contended upstream relative to other customers; 1 is usual. */
  readonly fairShareWeight: number;
}

/** How detection trades speed against false ejections. */
export type Sensitivity = 'fast' | 'balanced' | 'careful';

/** A service: a set of interchangeable upstreams and the floor they keep. */
export interface ServiceSpec {
  /** Slots that ejection must leave in service. */
  readonly floorSlots: number;
  /** Slots the operator means to have in all; shown in status. */
  readonly targetSlots: number;
  /** Path on each upstream that reports its load; a hint only. */
  readonly loadReportPath: string;
  readonly sensitivity: Sensitivity;
  /** Host header that names this service, besides the documented header. */
  readonly host: string;
  /** Salted hash of the credential that callers must show; empty for none. */
  readonly callerCredentialHash: string;
}

/** Whether an upstream takes new work. */
export type UpstreamState = 'in-service' | 'draining';

/** One process of an upstream. */
export interface UpstreamIncarnation {
  /** May be used again by a process that starts later. */
  readonly id: string;
  /** By the clock of its box, in milliseconds since 1970; 0 where it is not told. */
  readonly startedAt: number;
}

/** One back end process of a service. */
export interface UpstreamSpec {
  /** IP address and port, such as 127.0.0.1:8080. */
  readonly address: string;
  readonly dataCentre: string;
  /** The box it runs on; the lockpin process there guards it. */
  readonly box: string;
  /** Calls it can work on at the same time. */
  readonly slots: number;
  /** Connections it accepts at the most. */
  readonly connections: number;
  readonly state: UpstreamState;
  /**
   * The process that calls are meant for. They name its id where it is known, so that
   * another process at the address refuses them.
   */
  readonly incarnation?: UpstreamIncarnation;
  /** It answers slowly until then, in milliseconds since 1970. */
  readonly coldUntil?: number;
}

/**
 * Whether a kind of call may run more than once. A once-only call carries a key
 * under which its outcome can be asked again; an at-most-once call has none, so
 * it is never sent a second time unless the first certainly did not run.
 */
export type Repetition = 'repeatable' | 'once-only' | 'at-most-once';

/** The rules for one kind of call of a service. */
export interface RouteSpec {
  /** HTTP method, or * for any. */
  readonly method: string;
  readonly pathPrefix: string;
  readonly repetition: Repetition;
  /** How long a caller waits at the most, in milliseconds. */
  readonly waitMilliseconds: number;
  /** 0 is the most urgent, 9 the least. */
  readonly priority: number;
  /** Retries allowed as a share of recent calls, 0 to 1. */
  readonly retryShare: number;
  /** Header that carries the once key of a once-only call. */
  readonly onceKeyHeader: string;
  /** Upstreams that one call may run on at the most; absent means the default. */
  readonly mostAttempts?: number;
  /** Answers within this time are worth most, in milliseconds. */
  readonly goalMilliseconds?: number;
}

/** An operator's credential; only a salted hash is kept. */
export interface TokenSpec {
  /** A customer's name, or * for the whole fleet. */
  readonly scope: string;
  readonly salt: string;
  readonly hash: string;
}

/** The spec that belongs to each kind. */
export interface SpecByKind {
  readonly Customer: CustomerSpec;
  readonly Service: ServiceSpec;
  readonly Upstream: UpstreamSpec;
  readonly Route: RouteSpec;
  readonly Token: TokenSpec;
}

/** A resource in force, with the version of the change that last wrote it. */
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
