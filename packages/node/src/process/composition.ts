// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The composition root: every part of a node's process, by tsyringe. */

import 'reflect-metadata';
import {container as root} from 'tsyringe';
import type {DependencyContainer, InjectionToken} from 'tsyringe';
import {createLogger} from '@lockpin/logger';
import type {Logger} from '@lockpin/logger';
import {isUsable} from '@lockpin/membership';
import {makeIncarnation} from '@lockpin/once';
import {BoxListClient} from '../connection/boxListClient.js';
import {DatagramSocket} from '../connection/datagramSocket.js';
import {LogClient} from '../connection/logClient.js';
import {PeerChannels} from '../connection/peerChannels.js';
import {PeerServer} from '../connection/peerServer.js';
import type {PeerServerHandlers} from '../connection/peerServer.js';
import {UpstreamPools} from '../connection/upstreamPools.js';
import type {RequestHandler} from '../connection/httpServer.js';
import {createOperatorApp} from '../operators/operatorApp.js';
import {createCallerApp} from '../request/callerApp.js';
import {lockpinCallerProtocol} from '../request/callerProtocol.js';
import {EntryService} from '../request/entryService.js';
import type {BeginExchange} from '../request/exchange.js';
import {GuardService} from '../request/guardService.js';
import {serveExchangeStream} from '../request/exchangeStreamServer.js';
import {serveGuardStream} from '../request/guardStreams.js';
import {RemoteExchanges} from '../request/remoteExchanges.js';
import type {NodeSettings} from '../settings/settingsSchema.js';
import {WatchHub} from '../version/watchHub.js';
import {ControlTraffic} from './controlTraffic.js';
import {createMetrics} from './metrics.js';
import type {NodeMetrics} from './metrics.js';
import {NodeHost} from './nodeHost.js';
import type {NodeEnvironment} from './nodeEnvironment.js';
import {registerOnceIn} from './registerOnce.js';
import {TimelineStore} from './timelineStore.js';
import {every} from './timers.js';

/** Names of boxes shown to a watch that have not a version in force. */
const MISSING_SHOWN = 10;

/** What can be asked of the container. */
export const TOKENS = {
  settings: Symbol('settings') as InjectionToken<NodeSettings>,
  logger: Symbol('logger') as InjectionToken<Logger>,
  metrics: Symbol('metrics') as InjectionToken<NodeMetrics>,
  environment: Symbol('environment') as InjectionToken<NodeEnvironment>,
  host: Symbol('host') as InjectionToken<NodeHost>,
  guardService: Symbol('guardService') as InjectionToken<GuardService>,
  entryService: Symbol('entryService') as InjectionToken<EntryService>,
  watches: Symbol('watches') as InjectionToken<WatchHub>,
  traffic: Symbol('traffic') as InjectionToken<ControlTraffic>,
  timeline: Symbol('timeline') as InjectionToken<TimelineStore>,
  pools: Symbol('pools') as InjectionToken<UpstreamPools>,
  channels: Symbol('channels') as InjectionToken<PeerChannels>,
  datagrams: Symbol('datagrams') as InjectionToken<DatagramSocket>,
  log: Symbol('log') as InjectionToken<LogClient>,
  boxList: Symbol('boxList') as InjectionToken<BoxListClient>,
  peerServer: Symbol('peerServer') as InjectionToken<PeerServer>,
  callerApp: Symbol('callerApp') as InjectionToken<RequestHandler>,
  operatorApp: Symbol('operatorApp') as InjectionToken<RequestHandler>,
} as const;

/** Registers every part; each is made once, when it is first asked for. */
export function composeNode(settings: NodeSettings): DependencyContainer {
  const container = root.createChildContainer();
  const once = registerOnceIn(container);
  container.register(TOKENS.settings, {useValue: settings});
  once(TOKENS.logger, () =>
    createLogger(settings.logLevel, {box: settings.box}),
  );
  once(TOKENS.metrics, () =>
    createMetrics(settings.metricsAddress, settings.box),
  );
  once(TOKENS.traffic, () => new ControlTraffic());
  once(TOKENS.timeline, () => new TimelineStore());
  once(TOKENS.pools, () => new UpstreamPools());
  once(
    TOKENS.channels,
    (parts) => new PeerChannels(parts.resolve(TOKENS.traffic)),
  );
  once(
    TOKENS.log,
    (parts) =>
      new LogClient(settings.logAddress, parts.resolve(TOKENS.traffic)),
  );
  once(
    TOKENS.boxList,
    (parts) =>
      new BoxListClient(settings.boxListAddress, parts.resolve(TOKENS.traffic)),
  );
  once(TOKENS.datagrams, (parts) => createDatagrams(parts, settings));
  once(TOKENS.environment, (parts) => realEnvironment(parts));
  once(TOKENS.host, (parts) => createHost(parts, settings));
  once(TOKENS.guardService, (parts) => createGuardService(parts));
  once(TOKENS.entryService, (parts) => createEntryService(parts, settings));
  once(TOKENS.watches, (parts) => createWatchHub(parts));
  once(TOKENS.peerServer, (parts) => createPeerServer(parts));
  once(TOKENS.callerApp, (parts) => createCallers(parts));
  once(TOKENS.operatorApp, (parts) => createOperators(parts, settings));
  return container;
}

function createDatagrams(
  parts: DependencyContainer,
  {peerAddress}: NodeSettings,
): DatagramSocket {
  const host = parts.resolve(TOKENS.host);
  const traffic = parts.resolve(TOKENS.traffic);
  return new DatagramSocket(peerAddress, traffic, (datagram) =>
    host.datagramReceived(datagram),
  );
}

function createCallers(parts: DependencyContainer): RequestHandler {
  const host = parts.resolve(TOKENS.host);
  return createCallerApp({
    entry: parts.resolve(TOKENS.entryService),
    state: () => host.control.keeper.state,
    isReady: () => host.isReady,
  });
}

function createOperators(
  parts: DependencyContainer,
  {bootstrapTokenHash}: NodeSettings,
): RequestHandler {
  return createOperatorApp({
    host: parts.resolve(TOKENS.host),
    watches: parts.resolve(TOKENS.watches),
    timeline: parts.resolve(TOKENS.timeline),
    traffic: parts.resolve(TOKENS.traffic),
    bootstrapTokenHash,
  });
}

function realEnvironment(parts: DependencyContainer): NodeEnvironment {
  const log = parts.resolve(TOKENS.log);
  const channels = parts.resolve(TOKENS.channels);
  const boxList = parts.resolve(TOKENS.boxList);
  return {
    clock: Date.now,
    random: Math.random,
    every,
    sendDatagram: (address, datagram) =>
      parts.resolve(TOKENS.datagrams).send(address, datagram),
    exchange: (address, request, done) =>
      channels.exchange(address, request, done),
    readLog: (stream, from, wait) => log.read(stream, from, wait),
    appendToLog: (stream, value) => log.append(stream, value),
    listBoxes: () => boxList.read(),
  };
}

function createHost(
  parts: DependencyContainer,
  settings: NodeSettings,
): NodeHost {
  const {box, dataCentre, peerAddress, callerAddress, operatorAddress} =
    settings;
  const environment = parts.resolve(TOKENS.environment);
  const {clock, random} = environment;
  const incarnation = makeIncarnation(clock(), random);
  return new NodeHost(
    {
      box,
      dataCentre,
      peerAddress,
      callerAddress,
      operatorAddress,
      incarnation,
    },
    {
      snapshots: {
        everyRecords: settings.snapshotEveryRecords,
        everyMilliseconds: settings.snapshotEveryMilliseconds,
      },
    },
    environment,
  );
}

function createGuardService(parts: DependencyContainer): GuardService {
  const host = parts.resolve(TOKENS.host);
  const {clock, random, every} = parts.resolve(TOKENS.environment);
  return new GuardService({
    clock,
    random,
    every,
    brain: host.guard,
    pools: parts.resolve(TOKENS.pools),
    onOther: (action) => host.guardActed(action),
  });
}

function createEntryService(
  parts: DependencyContainer,
  settings: NodeSettings,
): EntryService {
  const host = parts.resolve(TOKENS.host);
  const guard = parts.resolve(TOKENS.guardService);
  const channels = parts.resolve(TOKENS.channels);
  const {clock, random} = parts.resolve(TOKENS.environment);
  const {membership} = host.control;
  const remote = new RemoteExchanges((address) => channels.client(address));
  return new EntryService({
    clock,
    random,
    brain: host.entry,
    logger: parts.resolve(TOKENS.logger),
    metrics: parts.resolve(TOKENS.metrics),
    largestBodyBytes: () => settings.largestBodyBytes,
    protocol: lockpinCallerProtocol(() => host.control.keeper.state),
    isOwnBox: (box) => box === settings.box,
    needsGo: (box, repetition) =>
      box !== settings.box && repetition === 'at-most-once',
    isReady: () => host.isReady,
    isLeaving: () => host.isLeaving,
    // Callers behind lockpin say themselves that they repeat a call.
    mayBeRepeat: () => false,
    incarnation: (box) => membership.get(box)?.incarnation,
    begin: (box, head, handlers) => {
      if (box === settings.box) {
        return guard.begin(head, handlers);
      }
      const address = membership.get(box)?.peerAddress ?? '';
      return remote.begin(address, head, handlers);
    },
  });
}

function createWatchHub(parts: DependencyContainer): WatchHub {
  const host = parts.resolve(TOKENS.host);
  const {control} = host;
  return new WatchHub({
    version: () => control.keeper.version,
    inForce: (version) => {
      const usable = control.membership.all().filter(isUsable);
      const missing = usable.filter(
        ({box}) => (control.news.versionsInForce.get(box) ?? 0) < version,
      );
      return {
        nodes: usable.length - missing.length,
        of: usable.length,
        missing: missing.slice(0, MISSING_SHOWN).map(({box}) => box),
      };
    },
    onWatcherCount: (count) => host.watchersCounted(count),
  });
}

function createPeerServer(parts: DependencyContainer): PeerServer {
  const host = parts.resolve(TOKENS.host);
  const guard = parts.resolve(TOKENS.guardService);
  const begin: BeginExchange = (head, handlers) => guard.begin(head, handlers);
  const handlers: PeerServerHandlers = {
    call: (stream) => serveGuardStream(stream, begin),
    exchanges: (stream) => serveExchangeStream(stream, begin),
    exchange: (request, reply) => host.exchangeReceived(request, reply),
  };
  return new PeerServer(handlers, parts.resolve(TOKENS.traffic));
}
