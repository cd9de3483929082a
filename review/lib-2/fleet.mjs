// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
// Starts a small deployment: the store, and machines with one node each. The
// nodes are the project's own program, started with the command of the deploy
// file; each machine has a loopback address of its own.

import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {setTimeout as delay} from 'node:timers/promises';
import {startStore} from './store.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

const PORTS = {app: 8145, inbound: 8146, outbound: 8147, readiness: 8141};

const CONTROL_PORT = 8144;

const STORE_PORT = 8142;

const CONTACT_MILLISECONDS = 3000;

/** The command that starts a node, from the deploy file. */
function runCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** A part of 127.0.0.0/8 that a second run at the same time does not use. */
function freeNetwork() {
  const random = () => 1 + Math.floor(Math.random() * 250);
  return `127.${random()}.${random()}`;
}

function settingsText({name, zone, ip, service, store}, isFirstStart) {
  return `${[
    `Self.Node=${name}`,
    'Self.Role=node',
    'Self.MachineClass=sidecar',
    'Self.Serves=sidecar',
    `Self.Ip=${ip}`,
    `Self.Zone=${zone}`,
    'Self.Region=muscat',
    'Self.InTolerance=false',
    `Self.Bootstrap=${isFirstStart}`,
    'Self.Limits.CpuShare=0.54',
    'Self.Limits.Cores=1',
    'Self.Limits.MemoryMb=350',
    'Self.Limits.MaxFds=4100',
    'Self.Limits.LinkMbps=1000.0',
    'Self.Limits.DiskMb=0',
    `Self.AppAddr=${ip}:${PORTS.app}`,
    `Self.Service=${service}`,
    `Network.Listen.Inbound=${ip}:${PORTS.inbound}`,
    `Network.Listen.Outbound=${ip}:${PORTS.outbound}`,
    `Network.Listen.Readiness=${ip}:${PORTS.readiness}`,
    `Network.Listen.Control=${ip}:${CONTROL_PORT}`,
    'Network.InternalPorts=7380,7395',
    'Network.Seeds=',
    'Network.Zones.rusayl=muscat',
    'Network.Zones.ghala=muscat',
    'Network.Zones.seeb=muscat',
    'Platform.Discovery=static',
    'Platform.Entry=static',
    'Platform.Heartbeat=1500ms',
    `Platform.Platform.Address=${store}`,
    'Platform.Platform.form=log',
    'Platform.Platform.writes_per_s=400',
    'Platform.Platform.reads_per_s=2000',
    'Platform.Platform.parts=8',
    'Platform.Platform.append=4ms',
    'Platform.Platform.part_mb_per_s=20.0',
    'Platform.Platform.read_mb_per_s=80.0',
    'Platform.Platform.record_bytes=262144',
    'Platform.Platform.call_bytes=2097152',
    'Platform.Platform.keep=20s',
    'Platform.Platform.part_mb=200',
    'Platform.Platform.ttl_min=1000ms',
    'Terms.Contracts=base,drain,config,cost,retry,recover,health,platform',
    'Terms.FaultTolerance.Machines=1',
    'Terms.FaultTolerance.Zones=0',
    'Terms.FaultTolerance.Regions=0',
    'Terms.Bounds.SeedLag=3s',
    'Terms.Bounds.AddrReuse=2s',
    `Terms.Bounds.Contact=${CONTACT_MILLISECONDS}ms`,
    'Terms.Bounds.Ack=4000ms',
    'Terms.Bounds.CatchUp=4s',
    'Terms.Bounds.Drain=2000ms',
    'Terms.Bounds.Grace=6s',
    'Terms.Bounds.LossSlack=200ms',
    'Terms.Bounds.ConfigApply=2000ms',
    'Terms.Bounds.RollbackSlack=250ms',
    'Terms.Bounds.MaxStretch=5000ms',
    'Terms.Bounds.RetryBudgetRatio=0.2',
    'Terms.Bounds.BudgetWindow=10s',
    'Terms.Bounds.BudgetExtra=56',
    'Terms.Bounds.Recovery=15s',
    'Terms.Bounds.ProbesPerS=3',
    'Terms.Bounds.FloorShare=0.7',
  ].join('\n')}\n`;
}

/**
 * Starts the store and one node for each machine. A machine is given as
 * {name, zone, service}; routes as {name, host, prefix, kind, service, timeout}.
 */
export async function startFleet({machines, routes, record}) {
  const network = freeNetwork();
  const folder = mkdtempSync(join(tmpdir(), 'lockpin-review-'));
  const store = await startStore(`${network}.1`, STORE_PORT);
  store.put('keyed.op', 'config', configuration(1, routes));
  const started = machines.map((machine, i) =>
    startMachine(
      {...machine, ip: `${network}.${i + 10}`},
      store,
      folder,
      record,
    ),
  );
  const fleet = {
    store,
    machines: started,
    configure: (version, newRoutes) =>
      store.put('keyed.op', 'config', configuration(version, newRoutes)),
    stop: async () => {
      await Promise.all(started.map((machine) => machine.end()));
      store.stop();
      rmSync(folder, {recursive: true, force: true});
    },
  };
  await Promise.all(started.map((machine) => machine.untilReady()));
  return fleet;
}

function configuration(version, routes) {
  const services = new Set(routes.map(({service}) => service));
  return JSON.stringify({
    Version: version,
    Routes: Object.fromEntries(
      routes.map(({name, host, prefix, kind, service, timeout}) => [
        name,
        {
          Host: host,
          PathPrefix: prefix,
          Service: service,
          Kind: kind,
          MaxAttempts: 2,
          Timeout: `${timeout}ms`,
          SloLatency: '800ms',
          Priority: 1,
        },
      ]),
    ),
    Services: Object.fromEntries(
      [...services].map((name) => [
        name,
        {HealthPath: '/health', MaxConnections: 330, Protocol: 'h1'},
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

function startMachine(machine, store, folder, record) {
  const {name, ip} = machine;
  const path = join(folder, `${name}.conf`);
  const [program, ...words] = runCommand();
  const {PATH, HOME, LANG} = process.env;
  let child;
  let isEnding = false;
  const exits = [];
  const log = [];

  function start() {
    const isFirstStart = exits.length === 0;
    const settings = {...machine, store: store.address};
    writeFileSync(path, settingsText(settings, isFirstStart));
    child = spawn(program, words, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, LOCKPIN_SETTINGS: path},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const keep = (bytes) => {
      log.push(...bytes.toString().split('\n').filter(Boolean));
      log.splice(0, Math.max(0, log.length - 4000));
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) => {
      exits.push({code, signal, at: Date.now()});
      record(`${name}: process ended, code ${code}, signal ${signal}`);
      // The platform starts a process that ends again after a short delay.
      if (!isEnding) {
        setTimeout(() => !isEnding && start(), 300);
      }
    });
  }

  start();
  // Whatever ends the case, no process stays.
  process.on('exit', () => child.kill('SIGKILL'));
  return {
    ...machine,
    log,
    exits,
    outbound: {host: ip, port: PORTS.outbound},
    control: {host: ip, port: CONTROL_PORT},
    app: {host: ip, port: PORTS.app},
    get pid() {
      return child.pid;
    },
    signal: (signal) => child.kill(signal),
    untilReady: async () => {
      const limit = Date.now() + 20_000;
      while (Date.now() < limit) {
        if ((await get(ip, PORTS.readiness, '/ready')) === 200) {
          return;
        }
        await delay(50);
      }
      throw new CannotRun(`${name} did not get ready`);
    },
    end: async () => {
      isEnding = true;
      if (child.exitCode === null && child.signalCode === null) {
        const ended = new Promise((resolve) => child.once('exit', resolve));
        child.kill('SIGKILL');
        await ended;
      }
    },
  };
}

/** The case could not run; says nothing about the rule. */
export class CannotRun extends Error {}

function get(host, port, path) {
  return new Promise((resolve) => {
    const request = httpRequest(
      {host, port, path, timeout: 1000, agent: false},
      (response) => {
        response.resume();
        response.once('end', () => resolve(response.statusCode));
      },
    );
    request.once('timeout', () => request.destroy());
    request.once('error', () => resolve(0));
    request.end();
  });
}

/** Sends a check-in of a target to the node beside it; true on a 2xx. */
export function announce({control}, call, id, body) {
  return new Promise((resolve) => {
    const text = body === undefined ? '' : JSON.stringify(body);
    const request = httpRequest(
      {
        ...control,
        method: 'POST',
        path: `/rpc?call=instances.${call}&of=${id}`,
        headers: {'content-type': 'application/json'},
        timeout: 1000,
        agent: false,
      },
      (response) => {
        response.resume();
        response.once('end', () => resolve(response.statusCode === 200));
      },
    );
    request.once('timeout', () => request.destroy());
    request.once('error', () => resolve(false));
    request.end(text);
  });
}
