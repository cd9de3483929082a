// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Guards against a watch hanging when its connection stalls but stays open. */

import {createServer} from 'node:http';
import type {Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {ApiClient} from '../apiClient.js';

const HOST = '127.0.0.1';
const IDLE_TIMEOUT_MILLISECONDS = 200;
const CHANGE = {type: 'change', version: 5};
const IN_FORCE = {type: 'in-force', version: 5, isEverywhere: true};

let server: Server;

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

/** Answers each watch with the next event list; ends only the last response. */
async function startNode(
  eventLists: readonly (readonly object[])[],
  paths: string[],
): Promise<string> {
  server = createServer((request, response) => {
    const events = eventLists[paths.length] ?? [];
    paths.push(request.url ?? '');
    writeEvents(response, events);
    if (paths.length === eventLists.length) {
      response.end();
    }
  });
  await new Promise<void>((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return `${HOST}:${(server.address() as AddressInfo).port}`;
}

function writeEvents(response: ServerResponse, events: readonly object[]) {
  response.writeHead(200, {'content-type': 'application/jsonl'});
  events.forEach((event) => response.write(`${JSON.stringify(event)}\n`));
}

async function collectEvents(address: string): Promise<readonly unknown[]> {
  const client = new ApiClient(
    {address, token: 't'},
    IDLE_TIMEOUT_MILLISECONDS,
  );
  const events: unknown[] = [];
  for await (const event of client.watch(4)) {
    events.push(event);
  }
  return events;
}

it('resumes before changes not yet in force and reports each change once', async () => {
  const paths: string[] = [];
  const address = await startNode([[CHANGE], [CHANGE, IN_FORCE]], paths);
  expect(await collectEvents(address)).toEqual([CHANGE, IN_FORCE]);
  expect(paths).toEqual(['/watch?version=4', '/watch?version=4']);
});

it('resumes after changes that are in force everywhere', async () => {
  const paths: string[] = [];
  const bookmark = {type: 'bookmark', version: 7};
  const address = await startNode([[CHANGE, IN_FORCE, bookmark], []], paths);
  expect(await collectEvents(address)).toEqual([CHANGE, IN_FORCE, bookmark]);
  expect(paths.at(-1)).toContain('version=7');
});
