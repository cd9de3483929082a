// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** HTTP error responses of the operators' API. */

import type {ServerResponse} from 'node:http';
import type {ApiFailure} from '@lockpin/types';

const STATUS: Readonly<Record<ApiFailure['kind'], number>> = {
  invalid: 422,
  conflict: 409,
  'not-found': 404,
  'token-wrong': 401,
  'out-of-scope': 403,
  'version-expired': 410,
  'not-ready': 503,
  'log-unavailable': 503,
};

/** Sends a failure as an application/problem+json response. */
export function sendApiFailure(
  response: ServerResponse,
  failure: ApiFailure,
): void {
  const status = STATUS[failure.kind];
  const {kind, ...rest} = failure;
  const body = JSON.stringify({
    type: `urn:lockpin:failure:${kind}`,
    title: kind.replaceAll('-', ' '),
    status,
    kind,
    ...rest,
  });
  response.writeHead(status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
