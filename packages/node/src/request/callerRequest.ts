// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Parses a caller's request: service, route, customer, timeout and once key.
 */

import type {IncomingMessage} from 'node:http';
import {findRoute} from '@lockpin/configuration';
import type {ConfigurationState, ServiceView} from '@lockpin/configuration';
import {parseOnceKey} from '@lockpin/once';
import type {OnceKey} from '@lockpin/once';
import type {RefusalReason, Resource, Result} from '@lockpin/types';
import {
  equalInConstantTime,
  failure,
  saltedHash,
  success,
} from '@lockpin/utils';

/** Headers that callers may set; see docs/guides/callers.md. */
export const CALLER_HEADERS = {
  service: 'lockpin-service',
  customer: 'lockpin-customer',
  timeout: 'lockpin-timeout-milliseconds',
  credential: 'lockpin-credential',
  retry: 'lockpin-retry',
  parent: 'lockpin-parent',
  firstWithKey: 'lockpin-once-attempt',
} as const;

/** A request that cannot be routed; it has not run. */
export interface UnroutedRequest {
  readonly reason: RefusalReason;
  /** Details for the log; must not contain secrets. */
  readonly detail?: Readonly<Record<string, string | number>>;
}

/** A request that may be routed. */
export interface CallerRequest {
  readonly view: ServiceView;
  readonly route: Resource<'Route'>;
  /** The calling customer; `weight` is its fair-share weight. */
  readonly customer: string;
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The customer whose key the caller presented; passed to the upstream. */
  readonly keyOwner: string | undefined;
  /**
   * The caller as part of the request digest; the same for calls from the
   * upstreams of all boxes.
   */
  readonly caller: string;
  readonly path: string;
  readonly waitMilliseconds: number;
  readonly onceKey: OnceKey | undefined;
  readonly isFirstWithKey: boolean;
  readonly isCallersRetry: boolean;
  /** Id of the request whose upstream makes this call, as the caller states. */
  readonly parentRequestId?: string;
  /** That request runs on this box; set by nestedCall and never by a caller. */
  readonly isNested?: boolean;
  /** The configuration version that the call is served under. */
  readonly version: number;
}

/** Finds the service that a request names. */
export function findService(
  state: ConfigurationState,
  request: IncomingMessage,
): ServiceView | undefined {
  const named = firstHeader(request, CALLER_HEADERS.service);
  if (named !== undefined) {
    return state.service(named);
  }
  const host = request.headers.host ?? '';
  return state.serviceByHost(host) ?? state.serviceByHost(withoutPort(host));
}

/**
 * Parses the request; a failure tells why it cannot be routed and did not run.
 */
export function readCallerRequest(
  state: ConfigurationState,
  request: IncomingMessage,
): Result<CallerRequest, RefusalReason> {
  const view = findService(state, request);
  if (view === undefined) {
    return failure('service-unknown');
  }
  const {callerCredentialHash} = view.service.spec;
  if (!isCredentialValid(request, callerCredentialHash)) {
    return failure('credential-wrong');
  }
  const path = request.url ?? '/';
  const route = findRoute(view, request.method ?? 'GET', path);
  if (route === undefined) {
    return failure('route-unknown');
  }
  const wait = parseTimeout(request, route.spec.waitMilliseconds);
  if (wait === undefined) {
    return failure('request-malformed');
  }
  const key = readOnceKey(request, route);
  if (!key.ok) {
    return key;
  }
  const calling = findCustomer(state, request, view);
  return success({
    view,
    route,
    ...calling,
    caller: calling.customer,
    priority: route.spec.priority,
    keyOwner: undefined,
    path,
    waitMilliseconds: wait,
    onceKey: key.value,
    isFirstWithKey:
      firstHeader(request, CALLER_HEADERS.firstWithKey) === 'first',
    isCallersRetry: firstHeader(request, CALLER_HEADERS.retry) !== undefined,
    version: state.version,
    parentRequestId: firstHeader(request, CALLER_HEADERS.parent),
  });
}

function isCredentialValid(request: IncomingMessage, hash: string): boolean {
  if (hash === '') {
    return true;
  }
  const [salt = '', expected = ''] = hash.split(':');
  const given = firstHeader(request, CALLER_HEADERS.credential) ?? '';
  return equalInConstantTime(saltedHash(salt, given), expected);
}

/** The caller's timeout, capped by the route's; undefined when malformed. */
function parseTimeout(
  request: IncomingMessage,
  limit: number,
): number | undefined {
  const requested = firstHeader(request, CALLER_HEADERS.timeout);
  if (requested === undefined) {
    return limit;
  }
  return /^\d{1,9}$/.test(requested)
    ? Math.min(Number(requested), limit)
    : undefined;
}

function readOnceKey(
  request: IncomingMessage,
  route: Resource<'Route'>,
): Result<OnceKey | undefined, RefusalReason> {
  if (route.spec.repetition !== 'once-only') {
    return success(undefined);
  }
  const text = firstHeader(request, route.spec.onceKeyHeader);
  if (text === undefined) {
    return failure('once-key-missing');
  }
  const key = parseOnceKey(text);
  return key === undefined ? failure('once-key-malformed') : success(key);
}

function findCustomer(
  state: ConfigurationState,
  request: IncomingMessage,
  view: ServiceView,
): {readonly customer: string; readonly weight: number} {
  const named = firstHeader(request, CALLER_HEADERS.customer) ?? view.customer;
  const customer =
    state.get('Customer', named) ?? state.get('Customer', view.customer);
  return {
    customer: customer?.name ?? view.customer,
    weight: customer?.spec.fairShareWeight ?? 1,
  };
}

function firstHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function withoutPort(host: string): string {
  return host.replace(/:\d+$/, '');
}
