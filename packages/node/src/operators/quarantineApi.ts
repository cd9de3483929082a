// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The operators' API of a declared fleet: lists quarantined requests and lifts
 * them.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {QuarantinedRequest} from '@lockpin/quarantine';
import type {RequestHandler} from '../connection/httpServer.js';
import {sendJson} from '../request/callerApp.js';
import {hasBootstrapToken} from './access.js';
import {sendApiFailure} from './apiProblem.js';

/** The resource kind of quarantined requests. */
export const QUARANTINE_KIND = 'Quarantine';

/** Dependencies of the quarantine API. */
export interface QuarantineApiDependencies {
  /** salt:hash of the required token; empty to reject all requests. */
  readonly tokenHash: string;
  /** Returns the version of the configuration in force. */
  readonly version: () => number;
  readonly quarantinedRequests: () => readonly QuarantinedRequest[];
  /** Lifts the quarantine of a request on all boxes. */
  readonly lift: (digest: string) => void;
}

/** Serves GET /resources?kind=Quarantine and POST /quarantines/DIGEST/lift. */
export function createQuarantineApi(
  dependencies: QuarantineApiDependencies,
): RequestHandler {
  return (request, response) => {
    if (!hasBootstrapToken(dependencies.tokenHash, request)) {
      sendApiFailure(response, {kind: 'token-wrong'});
      return;
    }
    const {pathname, searchParams} = new URL(
      request.url ?? '/',
      'http://lockpin',
    );
    const lifted = /^\/quarantines\/([^/]+)\/lift$/.exec(pathname)?.[1];
    if (request.method === 'POST' && lifted !== undefined) {
      lift(dependencies, lifted, response);
    } else if (isList(request, pathname)) {
      list(dependencies, searchParams.get('kind'), response);
    } else {
      sendApiFailure(response, {kind: 'not-found', resource: 'path'});
    }
  };
}

function isList({method}: IncomingMessage, pathname: string): boolean {
  return method === 'GET' && pathname === '/resources';
}

function list(
  {quarantinedRequests, version}: QuarantineApiDependencies,
  kind: string | null,
  response: ServerResponse,
): void {
  if (kind !== QUARANTINE_KIND) {
    const problem = `give ${QUARANTINE_KIND}: others are in the operators' store`;
    const problems = [{field: 'kind', problem}];
    sendApiFailure(response, {kind: 'invalid', problems});
    return;
  }
  const items = quarantinedRequests().map(({digest, ...spec}) => ({
    kind: QUARANTINE_KIND,
    name: digest,
    version: spec.since,
    spec,
  }));
  sendJson(response, 200, {version: version(), items});
}

function lift(
  dependencies: QuarantineApiDependencies,
  digest: string,
  response: ServerResponse,
): void {
  if (
    !dependencies
      .quarantinedRequests()
      .some((request) => request.digest === digest)
  ) {
    const resource = `${QUARANTINE_KIND} ${digest}`;
    sendApiFailure(response, {kind: 'not-found', resource});
    return;
  }
  dependencies.lift(digest);
  sendJson(response, 200, {digest});
}
