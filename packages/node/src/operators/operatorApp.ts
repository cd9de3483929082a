// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The HTTP API for operators. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {App} from '@tinyhttp/app';
import {v7} from 'uuid';
import {isResourceKind, RESOURCE_KINDS} from '@lockpin/configuration';
import type {
  ChangeOutcome,
  ChangeRecord,
  FieldProblem,
  Write,
} from '@lockpin/types';
import type {NodeHost} from '../process/nodeHost.js';
import type {ControlTraffic} from '../process/controlTraffic.js';
import type {TimelineStore} from '../process/timelineStore.js';
import type {RequestHandler} from '../connection/httpServer.js';
import {sendJson} from '../request/callerApp.js';
import {readBody} from '../request/readBody.js';
import type {WatchHub} from '../version/watchHub.js';
import {
  authenticate,
  isFleetWide,
  mayRead,
  mayWrite,
  withoutSecrets,
} from './access.js';
import type {Operator} from './access.js';
import {sendApiFailure} from './apiProblem.js';
import {parseChange} from './parseChange.js';
import {nodeStatus} from './nodeStatus.js';

/** Maximum size of a change request, in bytes. */
const MAXIMUM_CHANGE_BYTES = 1024 * 1024;

/** Dependencies of the operators' API. */
export interface OperatorAppDependencies {
  readonly host: NodeHost;
  readonly watches: WatchHub;
  readonly timeline: TimelineStore;
  readonly traffic: ControlTraffic;
  readonly bootstrapTokenHash: string;
}

type Handler = (
  operator: Operator,
  request: IncomingMessage & {readonly params: Record<string, string>},
  response: ServerResponse,
  query: URLSearchParams,
) => void | Promise<void>;

/** Creates the request handler of the operators' API. */
export function createOperatorApp(
  dependencies: OperatorAppDependencies,
): RequestHandler {
  const {host, timeline, traffic} = dependencies;
  const app = new App({
    noMatchHandler: (_, response) =>
      sendApiFailure(response, {kind: 'not-found', resource: 'path'}),
    onError: (_error, _request, response) =>
      sendApiFailure(response, {
        kind: 'invalid',
        problems: [{field: 'request', problem: 'cannot be read'}],
      }),
    settings: {xPoweredBy: false},
  });
  const withOperator = (handler: Handler) =>
    requireOperator(dependencies, handler) as never;
  app.get('/ready', (_, response) =>
    sendJson(response, host.isReady ? 200 : 503, {ready: host.isReady}),
  );
  app.get('/watch', withOperator(watch(dependencies)));
  app.get('/resources', withOperator(list(dependencies)));
  app.get('/resources/:kind/*', withOperator(get(dependencies)));
  app.post('/changes', withOperator(change(dependencies)));
  app.get('/changes/:id', withOperator(outcome(dependencies)));
  app.get(
    '/status',
    withOperator((operator, _request, response) =>
      sendJson(response, 200, nodeStatus(host, traffic, operator)),
    ),
  );
  app.get(
    '/timeline',
    withOperator((operator, _request, response, query) => {
      const since = Number(query.get('since') ?? 0);
      const events = timeline.since(since);
      const visibleEvents = events.filter(
        ({subject}) =>
          isFleetWide(operator) || subject.startsWith(`${operator.scope}/`),
      );
      sendJson(response, 200, {events: visibleEvents});
    }),
  );
  return (request, response) =>
    void app.handler(request as never, response as never);
}

/**
 * Rejects requests before a configuration is in force and requests without a
 * valid token.
 */
function requireOperator(
  {host, bootstrapTokenHash}: OperatorAppDependencies,
  handler: Handler,
) {
  return async (
    request: Parameters<Handler>[1],
    response: ServerResponse,
  ): Promise<void> => {
    const {state} = host.control.replica;
    const operator = authenticate(state, bootstrapTokenHash, request);
    if (!host.isReady) {
      sendApiFailure(response, {kind: 'not-ready'});
    } else if (operator === undefined) {
      sendApiFailure(response, {kind: 'token-wrong'});
    } else {
      const {searchParams} = new URL(request.url ?? '/', 'http://lockpin');
      await handler(operator, request, response, searchParams);
    }
  };
}

function list({host}: OperatorAppDependencies): Handler {
  return (operator, _request, response, query) => {
    const kind = query.get('kind') ?? '';
    if (kind !== '' && !isResourceKind(kind)) {
      const problem = `give one of ${RESOURCE_KINDS.join(', ')}`;
      const problems = [{field: 'kind', problem}];
      sendApiFailure(response, {kind: 'invalid', problems});
      return;
    }
    const {state} = host.control.replica;
    const prefix = query.get('prefix') ?? '';
    const items = [...state.all()].filter(
      (resource) =>
        (kind === '' || resource.kind === kind) &&
        (prefix === '' ||
          resource.name === prefix ||
          resource.name.startsWith(`${prefix}/`)) &&
        mayRead(operator, resource.kind, resource.name),
    );
    const {version} = state;
    sendJson(response, 200, {version, items: items.map(withoutSecrets)});
  };
}

function get({host}: OperatorAppDependencies): Handler {
  return (operator, request, response) => {
    const kind = request.params['kind'] ?? '';
    const {pathname} = new URL(request.url ?? '/', 'http://lockpin');
    const name = pathname.split('/').slice(3).join('/');
    const found = isResourceKind(kind)
      ? host.control.replica.state.get(kind, name)
      : undefined;
    const isVisible = isResourceKind(kind) && mayRead(operator, kind, name);
    if (found === undefined || !isVisible) {
      const resource = `${kind} ${name}`;
      sendApiFailure(response, {kind: 'not-found', resource});
      return;
    }
    sendJson(response, 200, withoutSecrets(found as never));
  };
}

function change({host}: OperatorAppDependencies): Handler {
  return async (operator, request, response) => {
    const body = await readBody(request, MAXIMUM_CHANGE_BYTES);
    const parsed = Buffer.isBuffer(body) ? parseChange(body) : changeTooLarge();
    if (!parsed.ok) {
      const problems = parsed.failure;
      sendApiFailure(response, {kind: 'invalid', problems});
      return;
    }
    const {changeId = v7(), writes} = parsed.value;
    if (writes.some((write) => !mayWrite(operator, write))) {
      const {scope} = operator;
      sendApiFailure(response, {kind: 'out-of-scope', scope});
      return;
    }
    await publish(host, response, operator, changeId, writes);
  };
}

function changeTooLarge(): {
  readonly ok: false;
  readonly failure: readonly FieldProblem[];
} {
  const problem = `give at most ${MAXIMUM_CHANGE_BYTES} bytes`;
  return {ok: false, failure: [{field: 'body', problem}]};
}

async function publish(
  host: NodeHost,
  response: ServerResponse,
  operator: Operator,
  changeId: string,
  writes: readonly Write[],
): Promise<void> {
  const record: ChangeRecord = {
    kind: 'change',
    changeId,
    author: operator.name,
    writes,
  };
  const settlement = await host.publish(record);
  if (settlement.kind === 'failure') {
    sendApiFailure(response, settlement.failure);
    return;
  }
  sendOutcome(response, changeId, settlement.outcome);
}

function sendOutcome(
  response: ServerResponse,
  changeId: string,
  result: ChangeOutcome,
): void {
  switch (result.kind) {
    case 'accepted':
      sendJson(response, 200, {...result, changeId});
      break;
    case 'conflict':
      sendApiFailure(response, result);
      break;
    case 'refused':
      sendApiFailure(response, {kind: 'invalid', problems: result.problems});
      break;
  }
}

function outcome({host}: OperatorAppDependencies): Handler {
  return (operator, request, response) => {
    const changeId = request.params['id'] ?? '';
    const found = host.control.replica.state.outcomeOf(changeId);
    if (found === undefined || !isFleetWide(operator)) {
      const resource = `change ${changeId}`;
      sendApiFailure(response, {kind: 'not-found', resource});
      return;
    }
    sendOutcome(response, changeId, found);
  };
}

function watch({host, watches}: OperatorAppDependencies): Handler {
  return (operator, _request, response, query) => {
    const {history, version} = host.control.replica;
    const from = Number(query.get('version') ?? version);
    const missed = history.after(from);
    if (missed === undefined) {
      const oldest = history.oldestResumable;
      sendApiFailure(response, {kind: 'version-expired', oldest});
      return;
    }
    watches.add(
      operator,
      response,
      missed.map(({fold}) => fold),
    );
  };
}
