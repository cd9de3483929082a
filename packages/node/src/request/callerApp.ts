// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The HTTP app for callers: calls to services, readiness and once keys. */

import {App} from '@tinyhttp/app';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ConfigurationState} from '@lockpin/configuration';
import type {RequestHandler} from '../connection/httpServer.js';
import {findService} from './callerRequest.js';
import type {EntryService} from './entryService.js';

/** The largest number of keys minted in one request. */
const KEYS_PER_REQUEST_LIMIT = 100;

/** What the app needs from its process. */
export interface CallerAppDependencies {
  readonly entry: EntryService;
  readonly state: () => ConfigurationState;
  readonly isReady: () => boolean;
}

/** Creates the request handler of the callers' server. */
export function createCallerApp(
  dependencies: CallerAppDependencies,
): RequestHandler {
  const {entry, isReady} = dependencies;
  const app = new App({
    noMatchHandler: (request, response) => void entry.serve(request, response),
    settings: {xPoweredBy: false},
  });
  app.get('/.lockpin/ready', (_, response) => {
    sendJson(response, isReady() ? 200 : 503, {ready: isReady()});
  });
  app.post('/.lockpin/once-keys', (request, response) => {
    mintKeys(dependencies, request, response);
  });
  return (request, response) => {
    if (request.url?.startsWith('/.lockpin/')) {
      void app.handler(request as never, response as never);
      return;
    }
    void entry.serve(request, response);
  };
}

function mintKeys(
  {entry, state}: CallerAppDependencies,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const view = findService(state(), request);
  const query = new URL(request.url ?? '/', 'http://lockpin').searchParams;
  const count = Number(query.get('count') ?? 1);
  if (!Number.isInteger(count) || count < 1 || count > KEYS_PER_REQUEST_LIMIT) {
    sendJson(response, 400, {
      field: 'count',
      problem: `give 1 to ${KEYS_PER_REQUEST_LIMIT}`,
    });
    return;
  }
  if (view === undefined) {
    sendJson(response, 404, {reason: 'service-unknown', outcome: 'not-run'});
    return;
  }
  const keys = Array.from({length: count}, () => entry.mintKey(view));
  if (keys.includes(undefined)) {
    sendJson(response, 503, {reason: 'no-upstream', outcome: 'not-run'});
    return;
  }
  sendJson(response, 201, {keys});
}

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
