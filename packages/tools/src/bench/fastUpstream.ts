// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Upstream process of the benchmark; answers every request immediately. */

import {createServer} from 'node:http';
import {listenAndReportAddress} from './childProcess.js';

const BODY = Buffer.from(JSON.stringify({reading: 4.2, unit: 'celsius'}));

const server = createServer((request, response) => {
  request.resume();
  response.writeHead(200, {
    'content-type': 'application/json',
    'content-length': BODY.length,
  });
  response.end(BODY);
});
listenAndReportAddress(server);
