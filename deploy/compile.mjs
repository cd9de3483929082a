// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Compiles the bundle for all later starts. V8 compiles a function when it is first
 * called, so that two nodes run here for a moment, in one process and on loopback, and
 * serve some calls; what was compiled by then is kept.
 */

import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {Script} from 'node:vm';
import {
  StoreStandIn,
  UpstreamAnnouncer,
  UpstreamStandIn,
  configurationText,
  requestHeaders,
  settingsText,
} from '../platform/stand-ins/lib/index.js';
import {runBundle} from '../platform/lib/loadNode.js';

/** The folder that holds the bundle; see build.mjs. */
const FOLDER = resolve(process.argv[2] ?? 'target');
const BUNDLE = join(FOLDER, 'node.cjs');
const COMPILED = join(FOLDER, 'node.cache');

const SERVICE = 'warm-up';
const HOST = 'warm-up.example';
const NODES = 2;

/** Enough that both nodes serve calls of both kinds for each other. */
const CALLS = 60;

/** Calls under way at a time; more than one upstream has slots for. */
const CALLS_AT_A_TIME = 12;

/** One customer within its limit, and one that is soon over it. */
const CUSTOMERS = [
  {name: 'one', keys: ['key-of-one'], callsPerSecond: 1000, burst: 1000},
  {name: 'two', keys: ['key-of-two'], callsPerSecond: 1, burst: 1, priority: 2},
];

/** Of so many calls one is made by the customer that is over its limit. */
const CALLS_PER_REFUSED = 6;

/** Time that a call may take. */
const CALL_MILLISECONDS = 2000;

/** Time in which the nodes come to know each other and the configuration. */
const SETTLE_MILLISECONDS = 3500;

async function freeAddress() {
  const server = createServer();
  await new Promise((done) => server.listen(0, '127.0.0.1', done));
  const {port} = server.address();
  await new Promise((done) => server.close(done));
  return `127.0.0.1:${port}`;
}

function route(name, isRepeatable) {
  return {
    name,
    host: HOST,
    pathPrefix: `/${name}/`,
    isRepeatable,
    timeoutMilliseconds: CALL_MILLISECONDS,
    destinations: [{service: SERVICE, weight: 1}],
  };
}

async function startBox(script, number, storeAddress, folder) {
  const upstream = new UpstreamStandIn(`i-${number}`);
  upstream.workMilliseconds = 20;
  const address = await upstream.start();
  const box = {
    callerAddress: await freeAddress(),
    announcementAddress: await freeAddress(),
    announcer: new UpstreamAnnouncer({
      lifetime: `i-${number}`,
      service: SERVICE,
      address,
      slots: 4,
    }),
  };
  const settings = join(folder, `${number}.conf`);
  const text = settingsText({
    box: `box-${number}`,
    dataCentre: 'here',
    service: SERVICE,
    peerAddress: await freeAddress(),
    callerAddress: box.callerAddress,
    readinessAddress: await freeAddress(),
    announcementAddress: box.announcementAddress,
    storeAddress,
    stopLimitMilliseconds: 1000,
    retryRatio: 0.2,
    retryWindowMilliseconds: 10_000,
    retryExtra: 10,
  });
  writeFileSync(settings, text);
  process.env.LOCKPIN_SETTINGS = settings;
  const none = () => undefined;
  await runBundle(script, BUNDLE).startNode({
    ignoreHangup: none,
    endAtOnce: none,
    endWithError: none,
  });
  await box.announcer.say(box.announcementAddress, 'ready');
  return box;
}

function call({callerAddress}, number) {
  const isSafe = number % 2 === 0;
  return new Promise((done) => {
    const sent = request(
      `http://${callerAddress}/${isSafe ? 'look' : 'buy'}/1`,
      {
        method: isSafe ? 'GET' : 'POST',
        agent: false,
        headers: requestHeaders(
          HOST,
          `call-${number}`,
          CALL_MILLISECONDS,
          number % CALLS_PER_REFUSED === 0 ? 'key-of-two' : 'key-of-one',
        ),
      },
      (response) => {
        response.resume();
        response.on('end', () => done(response.statusCode));
      },
    );
    sent.on('error', () => done(0));
    sent.end(isSafe ? '' : 'body');
  });
}

const folder = mkdtempSync(join(tmpdir(), 'lockpin-build-'));
const script = new Script(readFileSync(BUNDLE, 'utf8'), {filename: BUNDLE});
const store = new StoreStandIn();
const storeAddress = await store.start();
const routes = [route('look', true), route('buy', false)];
store.put(
  'keyed.op',
  'config',
  configurationText(1, [SERVICE], routes, CUSTOMERS),
);
const boxes = [];
for (let number = 0; number < NODES; number += 1) {
  boxes.push(await startBox(script, number, storeAddress, folder));
}
await pause(SETTLE_MILLISECONDS);
const statuses = [];
for (let number = 0; number < CALLS; number += CALLS_AT_A_TIME) {
  const calls = Array.from({length: CALLS_AT_A_TIME}, (_, i) =>
    call(boxes[i % NODES], number + i),
  );
  statuses.push(...(await Promise.all(calls)));
}
writeFileSync(COMPILED, script.createCachedData());
rmSync(folder, {recursive: true});
const served = statuses.filter((status) => status === 200).length;
if (served < CALLS / 2) {
  // The code is whole all the same; only less of it is compiled beforehand.
  process.stderr.write(`compile: ${served} of ${CALLS} calls were served\n`);
}
process.exit(0);
