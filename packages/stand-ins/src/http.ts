// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** HTTP helpers shared by the stand-ins. */

import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {App} from '@tinyhttp/app';

/** Starts a server for an app; port 0 selects a free port. */
export async function listen(
  app: App,
  host: string,
  port: number,
): Promise<{readonly server: Server; readonly address: string}> {
  const server = createServer((request, response) => {
    void app.handler(request as never, response as never);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const {port: boundPort} = server.address() as AddressInfo;
  return {server, address: `${host}:${boundPort}`};
}

/** Reads the whole request body. */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
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
