// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Baseline proxy: one hop through the Node.js HTTP server and undici. */

import {createServer} from 'node:http';
import {Pool} from 'undici';
import type {Dispatcher} from 'undici';
import {listenAndReportAddress} from './childProcess.js';

const CONNECTIONS = 64;
const pool = new Pool(`http://${process.argv[2] ?? ''}`, {
  connections: CONNECTIONS,
  pipelining: 1,
});

const server = createServer((request, response) => {
  request.resume();
  pool
    .request({
      method: request.method as Dispatcher.HttpMethod,
      path: request.url ?? '/',
      headers: request.headers,
    })
    .then(({statusCode, headers, body}) => {
      response.writeHead(statusCode, headers);
      body.pipe(response);
    })
    .catch(() => response.destroy());
});
listenAndReportAddress(server);
