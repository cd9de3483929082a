// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Starts a small fleet on loopback addresses: the project's stand-in of the
 * platform's store, one lockpin-node process per machine (with the command of
 * deploy/system.toml), and one target per machine.
 */

import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, request as httpRequest} from 'node:http';
import {connect, createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {StoreStandIn} from '../../platform/stand-ins/lib/index.js';

export {delay};

export const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** The words of `run` in deploy/system.toml, after the program. */
const RUN = [
  '--max-old-space-size=128',
  '--max-semi-space-size=4',
  'target/lockpin-node.mjs',
  '9464',
];

const HEARTBEAT_MILLISECONDS = 1500;

/** Bounds of the site that cases check, in milliseconds. */
export const BOUNDS = {drain: 2500, contact: 3000};

const PORTS = {
  app: 8145,
  inbound: 8146,
  outbound: 8147,
  readiness: 8141,
  control: 8144,
  internal: 7380,
};

const started = performance.now();

/** Seconds since the start of the script. */
export function seconds() {
  return ((performance.now() - started) / 1000).toFixed(3);
}

/** Appends lines to record.txt in the folder of the case. */
export function createRecord(folder) {
  const path = join(folder, 'record.txt');
  writeFileSync(path, '');
  return (text) => {
    appendFileSync(path, `${seconds()} ${text}\n`);
  };
}

async function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createTcpServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Loopback addresses on which all ports in use are free. */
async function freeHosts(count) {
  const ports = [...Object.values(PORTS), 9464];
  const second = 16 + Math.floor(Math.random() * 200);
  const third = 1 + Math.floor(Math.random() * 250);
  const hosts = [];
  for (let last = 1; hosts.length < count && last < 250; last += 1) {
    const host = `127.${second}.${third}.${last}`;
    const free = await Promise.all(ports.map((port) => isFree(host, port)));
    if (free.every(Boolean)) {
      hosts.push(host);
    }
  }
  if (hosts.length < count) {
    throw new Error('no free loopback addresses');
  }
  return hosts;
}

/** Settings of a machine, with the bounds of the site dwc-campbook-grown. */
function settings({
  name,
  host,
  zone,
  service,
  zones,
  store,
  isFirstStart,
  memoryMb = 602,
}) {
  return [
    `Self.Node=${name}`,
    'Self.Role=node',
    'Self.MachineClass=sidecar',
    'Self.Serves=sidecar',
    `Self.Ip=${host}`,
    `Self.Zone=${zone}`,
    'Self.Region=lk-western',
    'Self.InTolerance=false',
    `Self.Bootstrap=${isFirstStart}`,
    'Self.Limits.CpuShare=0.675',
    'Self.Limits.Cores=2',
    `Self.Limits.MemoryMb=${memoryMb}`,
    'Self.Limits.MaxFds=8192',
    'Self.Limits.LinkMbps=140.0',
    'Self.Limits.DiskMb=0',
    `Self.AppAddr=${host}:${PORTS.app}`,
    `Self.Service=${service}`,
    `Network.Listen.Inbound=${host}:${PORTS.inbound}`,
    `Network.Listen.Outbound=${host}:${PORTS.outbound}`,
    `Network.Listen.Readiness=${host}:${PORTS.readiness}`,
    `Network.Listen.Control=${host}:${PORTS.control}`,
    `Network.InternalPorts=${PORTS.internal},${PORTS.internal + 15}`,
    'Network.Seeds=',
    ...zones.map((one) => `Network.Zones.${one}=lk-western`),
    'Platform.Discovery=static',
    'Platform.Entry=static',
    'Platform.Heartbeat=1500ms',
    `Platform.Platform.Address=${store}`,
    'Platform.Platform.form=log',
    'Platform.Platform.writes_per_s=1200',
    'Platform.Platform.reads_per_s=6000',
    'Platform.Platform.parts=16',
    'Platform.Platform.append=4ms',
    'Platform.Platform.part_mb_per_s=20.0',
    'Platform.Platform.read_mb_per_s=80.0',
    'Platform.Platform.record_bytes=262144',
    'Platform.Platform.call_bytes=2097152',
    'Platform.Platform.keep=300s',
    'Platform.Platform.part_mb=200',
    'Platform.Platform.ttl_min=1000ms',
    'Terms.Contracts=base,drain,config,cost,retry,recover,health,pool,platform',
    'Terms.FaultTolerance.Machines=2',
    'Terms.FaultTolerance.Zones=0',
    'Terms.FaultTolerance.Regions=0',
    'Terms.Bounds.SeedLag=3s',
    'Terms.Bounds.AddrReuse=2s',
    `Terms.Bounds.Contact=${BOUNDS.contact}ms`,
    'Terms.Bounds.Ack=5000ms',
    'Terms.Bounds.CatchUp=6s',
    `Terms.Bounds.Drain=${BOUNDS.drain}ms`,
    'Terms.Bounds.Grace=6s',
    'Terms.Bounds.LossSlack=200ms',
    'Terms.Bounds.ConfigApply=2500ms',
    'Terms.Bounds.RollbackSlack=250ms',
    'Terms.Bounds.MaxStretch=5000ms',
    'Terms.Bounds.RetryBudgetRatio=0.2',
    'Terms.Bounds.BudgetWindow=10s',
    'Terms.Bounds.BudgetExtra=170',
    'Terms.Bounds.Recovery=15s',
    'Terms.Bounds.ProbesPerS=3',
    'Terms.Bounds.FloorShare=0.7',
  ].join('\n');
}

/** A configuration as the operator writes it. */
export function configuration(version, routes, services) {
  return JSON.stringify({
    Version: version,
    Routes: routes,
    Services: Object.fromEntries(
      services.map((name) => [
        name,
        {
          HealthPath: '/health',
          MaxConnections: 1350,
          Protocol: 'h1',
          Tls: false,
        },
      ]),
    ),
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 67108864,
      HeaderTimeout: '3000ms',
      IdleTimeout: '15000ms',
    },
  });
}

/** The target beside a node. It announces itself until it is stopped. */
class Target {
  constructor(fleet, machine) {
    this.fleet = fleet;
    this.machine = machine;
    this.id = `i-${machine.name}-${Math.random().toString(16).slice(2, 10)}`;
    this.sequence = 0;
    this.state = 'ready';
    this.slots = machine.slots ?? 8;
    this.server = createServer({noDelay: true}, (request, response) =>
      this.serve(request, response),
    );
    this.server.keepAliveTimeout = 10_000;
  }

  async start() {
    await new Promise((done) =>
      this.server.listen(PORTS.app, this.machine.host, done),
    );
    void this.announceAgainAndAgain();
  }

  stop() {
    this.isStopped = true;
    this.server.closeAllConnections();
    this.server.close();
  }

  async announceAgainAndAgain() {
    while (!this.isStopped) {
      await this.announce();
      await delay(this.isKnown ? HEARTBEAT_MILLISECONDS : 200);
    }
  }

  /** Prepares a check-in; the function returned sends it. */
  checkIn(state = this.state) {
    this.sequence += 1;
    const {machine, id, slots, sequence} = this;
    const body = JSON.stringify({
      Service: machine.service,
      Address: `${machine.host}:${PORTS.app}`,
      Zone: machine.zone,
      Version: 'v1',
      Slots: slots,
      State: state,
      ColdRemaining: '0ms',
      CallSeq: sequence,
    });
    return () =>
      call({
        address: `${machine.host}:${PORTS.control}`,
        method: 'POST',
        path: `/rpc?call=instances.heartbeat&of=${id}`,
        headers: {'Content-Type': 'application/json'},
        body,
        timeout: 1000,
      });
  }

  async announce() {
    const {status} = await this.checkIn()();
    this.isKnown = status === 200;
    return this.isKnown;
  }

  async leave() {
    const answer = await call({
      address: `${this.machine.host}:${PORTS.control}`,
      method: 'POST',
      path: `/rpc?call=instances.leave&of=${this.id}`,
      timeout: 1000,
    });
    return answer.status === 200;
  }

  serve(request, response) {
    const chunks = [];
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks);
      const id = request.headers['attempt-id'];
      const expected = request.headers['expect-instance'];
      if (request.url === '/health') {
        response
          .writeHead(200, {'Instance-Id': this.id, 'Content-Length': 0})
          .end();
        return;
      }
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, {'Instance-Id': this.id}).end();
        return;
      }
      const run = {target: this, request, response, id, body};
      this.fleet.onRun(run);
    });
  }
}

/** A whole answer, with the headers of a sound target. */
export function answerWell({response, id}, body) {
  response.writeHead(200, {
    'Attempt-Id': id,
    'Response-Seal': `seal-${id}`,
    'Content-Length': Buffer.byteLength(body),
  });
  response.end(body);
}

/** Makes a call; never rejects. */
export function call({
  address,
  method = 'GET',
  path,
  headers = {},
  body,
  timeout = 10_000,
  agent,
  isChunked = false,
}) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const chunks = [];
    let answer;
    const finish = (end) =>
      resolve({
        status: answer?.statusCode ?? 0,
        headers: answer?.headers ?? {},
        body: Buffer.concat(chunks),
        end,
      });
    const request = httpRequest({
      host,
      port,
      method,
      path,
      agent: agent ?? false,
      headers: {
        ...headers,
        ...(body === undefined || isChunked
          ? {}
          : {'Content-Length': Buffer.byteLength(body)}),
      },
    });
    const timer = setTimeout(() => {
      finish('no answer in time');
      request.destroy();
    }, timeout);
    request.on('response', (received) => {
      answer = received;
      received.on('data', (chunk) => chunks.push(chunk));
      received.on('error', () => undefined);
      received.on('close', () => {
        clearTimeout(timer);
        finish(received.complete ? 'complete' : 'broken off');
      });
    });
    request.on('error', (error) => {
      clearTimeout(timer);
      finish(answer === undefined ? `closed (${error.code})` : 'broken off');
    });
    request.end(body);
  });
}

let serial = 0;

/** A new Attempt-Id. */
export function newId(prefix = 'a') {
  serial += 1;
  return `${prefix}${String(serial).padStart(5, '0')}${Math.random().toString(16).slice(2, 10)}`;
}

export class Fleet {
  nodes = [];
  targets = [];
  ended = [];
  onRun = (run) => answerWell(run, 'ok');
  onNodeLine = () => undefined;

  constructor({
    machines,
    routes,
    services,
    zones = ['cmb-hall1', 'cmb-hall2', 'gph-hall1'],
  }) {
    Object.assign(this, {machines, routes, services, zones});
    this.folder = mkdtempSync(join(tmpdir(), 'lockpin-review-'));
    this.store = new StoreStandIn();
    this.version = 1;
  }

  async start() {
    this.storeAddress = await this.store.start();
    this.configure();
    const hosts = await freeHosts(this.machines.length);
    this.machines.forEach((machine, index) => {
      machine.host = hosts[index];
      machine.zone ??= this.zones[index % this.zones.length];
    });
    for (const machine of this.machines) {
      this.startNode(machine);
      if (machine.service !== undefined) {
        machine.target = new Target(this, machine);
        this.targets.push(machine.target);
        await machine.target.start();
      }
    }
    await this.waitUntilReady(this.machines);
  }

  configure(routes = this.routes) {
    this.routes = routes;
    this.store.put(
      'keyed.op',
      'config',
      configuration(this.version, routes, this.services),
    );
    this.version += 3;
  }

  startNode(machine) {
    const path = join(this.folder, `${machine.name}.conf`);
    writeFileSync(
      path,
      settings({
        ...machine,
        zones: this.zones,
        store: this.storeAddress,
        isFirstStart: machine.node === undefined,
      }),
    );
    const {PATH, HOME, LANG} = process.env;
    const child = spawn(process.execPath, RUN, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, LOCKPIN_SETTINGS: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    machine.node = child;
    child.isExpectedToEnd = false;
    const onText = (text) =>
      String(text)
        .split('\n')
        .filter((line) => line !== '')
        .forEach((line) => this.onNodeLine(machine, line));
    child.stdout.on('data', onText);
    child.stderr.on('data', onText);
    child.on('exit', (code, signal) => {
      this.ended.push({machine: machine.name, code, signal, child});
    });
    this.nodes.push(child);
    return child;
  }

  async waitUntilReady(machines, timeout = 20_000) {
    const until = performance.now() + timeout;
    for (const machine of machines) {
      for (;;) {
        const {status} = await call({
          address: `${machine.host}:${PORTS.readiness}`,
          path: '/ready',
          timeout: 1000,
        });
        if (status === 200) {
          break;
        }
        if (performance.now() > until) {
          throw new Error(`${machine.name} is not ready`);
        }
        await delay(50);
      }
    }
  }

  outbound(machine) {
    return `${machine.host}:${PORTS.outbound}`;
  }

  /** Sends a client's request at a machine. */
  send(
    machine,
    {id = newId(), host = 'shop.example', deadline = 4000, ...rest},
  ) {
    const headers = {
      Host: host,
      'Attempt-Id': id,
      'Deadline-Ms': String(deadline),
      ...rest.headers,
    };
    return call({
      timeout: deadline + 3000,
      ...rest,
      address: this.outbound(machine),
      headers,
    });
  }

  /** Ends all processes at once. */
  killNodes() {
    for (const child of this.nodes) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGKILL');
      }
    }
  }

  async stop() {
    this.targets.forEach((target) => target.stop());
    for (const child of this.nodes) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        await new Promise((done) => child.once('exit', done));
      }
    }
    this.store.stop();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** Opens a plain connection. */
export function openSocket(address) {
  const [host, port] = address.split(':');
  return connect({host, port: Number(port), noDelay: true});
}

/** Exit codes of a case. */
const EXIT = {held: 0, broken: 1, couldNotRun: 2};

/** Longest run of a case, in milliseconds. */
const TIME_LIMIT = 110_000;

/**
 * Runs a case and exits with its code. The function gets a writer of record.txt
 * and `keep`, which makes sure that a fleet is stopped; it returns whether the
 * rule held.
 */
export async function runCase(url, run) {
  const record = createRecord(fileURLToPath(new URL('.', url)));
  const fleets = [];
  const keep = (fleet) => {
    fleets.push(fleet);
    return fleet;
  };
  let code = EXIT.couldNotRun;
  process.on('exit', () => fleets.forEach((fleet) => fleet.killNodes()));
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.on(signal, () => process.exit(EXIT.couldNotRun));
  }
  process.on('uncaughtException', (error) => {
    process.stderr.write(`${error.stack}\n`);
    process.exit(EXIT.couldNotRun);
  });
  try {
    const held = await Promise.race([
      run(record, keep),
      delay(TIME_LIMIT).then(() => {
        throw new Error('out of time');
      }),
    ]);
    code = held ? EXIT.held : EXIT.broken;
  } catch (error) {
    record(`could not run: ${error.stack}`);
    process.stderr.write(`${error.stack}\n`);
  }
  for (const fleet of fleets) {
    for (const {machine, code: status, signal} of fleet.ended) {
      record(`process of ${machine} ended: ${status ?? signal}`);
    }
    await fleet.stop();
  }
  record(`result: ${Object.keys(EXIT).find((key) => EXIT[key] === code)}`);
  process.exit(code);
}
