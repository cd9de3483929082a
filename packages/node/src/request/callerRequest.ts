// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reads from a caller's request what it calls and under which terms. */

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
  firstWithKey: 'lockpin-once-attempt',
} as const;

/** A request that cannot be routed; it has not run. */
export interface UnroutedRequest {
  readonly reason: RefusalReason;
  /** What decided it, for the log; nothing of it is secret. */
  readonly detail?: Readonly<Record<string, string | number>>;
}

/** A request that may be routed. */
export interface CallerRequest {
  readonly view: ServiceView;
  readonly route: Resource<'Route'>;
  /** The calling customer, and its weight where customers share. */
  readonly customer: string;
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The customer whose key the caller showed, as its upstream is told. */
  readonly keyOwner: string | undefined;
  /** Who calls, as far as requests differ by it; the upstreams of all boxes are one. */
  readonly caller: string;
  readonly path: string;
  readonly waitMilliseconds: number;
  readonly onceKey: OnceKey | undefined;
  readonly isFirstWithKey: boolean;
  readonly isCallersRetry: boolean;
  /** Version of the configuration that the call is served under. */
  readonly version: number;
}

/** Finds the service that a request names. */
export function findService(
  state: ConfigurationState,
  request: IncomingMessage,
): ServiceView | undefined {
  const named = single(request, CALLER_HEADERS.service);
  if (named !== undefined) {
    return state.service(named);
  }
  const host = request.headers.host ?? '';
  return state.serviceByHost(host) ?? state.serviceByHost(withoutPort(host));
}

/** Reads the request, or says why it cannot be routed; it has not run then. */
export function readCallerRequest(
  state: ConfigurationState,
  request: IncomingMessage,
): Result<CallerRequest, RefusalReason> {
  const view = findService(state, request);
  if (view === undefined) {
    return failure('service-unknown');
  }
  const {callerCredentialHash} = view.service.spec;
  if (!isCredentialRight(request, callerCredentialHash)) {
    return failure('credential-wrong');
  }
  const path = request.url ?? '/';
  const route = findRoute(view, request.method ?? 'GET', path);
  if (route === undefined) {
    return failure('route-unknown');
  }
  const wait = waitOf(request, route.spec.waitMilliseconds);
  if (wait === undefined) {
    return failure('request-malformed');
  }
  const key = onceKeyOf(request, route);
  if (!key.ok) {
    return key;
  }
  const calling = callingCustomer(state, request, view);
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
    isFirstWithKey: single(request, CALLER_HEADERS.firstWithKey) === 'first',
    isCallersRetry: single(request, CALLER_HEADERS.retry) !== undefined,
    version: state.version,
  });
}

function isCredentialRight(request: IncomingMessage, hash: string): boolean {
  if (hash === '') {
    return true;
  }
  const [salt = '', expected = ''] = hash.split(':');
  const given = single(request, CALLER_HEADERS.credential) ?? '';
  return equalInConstantTime(saltedHash(salt, given), expected);
}

/** The caller's wait, capped by the rule; undefined when it is no number. */
function waitOf(request: IncomingMessage, most: number): number | undefined {
  const asked = single(request, CALLER_HEADERS.timeout);
  if (asked === undefined) {
    return most;
  }
  return /^\d{1,9}$/.test(asked) ? Math.min(Number(asked), most) : undefined;
}

function onceKeyOf(
  request: IncomingMessage,
  route: Resource<'Route'>,
): Result<OnceKey | undefined, RefusalReason> {
  if (route.spec.repetition !== 'once-only') {
    return success(undefined);
  }
  const text = single(request, route.spec.onceKeyHeader);
  if (text === undefined) {
    return failure('once-key-missing');
  }
  const key = parseOnceKey(text);
  return key === undefined ? failure('once-key-malformed') : success(key);
}

function callingCustomer(
  state: ConfigurationState,
  request: IncomingMessage,
  view: ServiceView,
): {readonly customer: string; readonly weight: number} {
  const named = single(request, CALLER_HEADERS.customer) ?? view.customer;
  const customer =
    state.get('Customer', named) ?? state.get('Customer', view.customer);
  return {
    customer: customer?.name ?? view.customer,
    weight: customer?.spec.fairShareWeight ?? 1,
  };
}

function single(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function withoutPort(host: string): string {
  return host.replace(/:\d+$/, '');
}
