// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The composition root of a node, with tsyringe. */

import 'reflect-metadata';
import {container as root} from 'tsyringe';
import type {DependencyContainer, InjectionToken} from 'tsyringe';
import {createLogger} from '@lockpin/logger';
import type {Logger} from '@lockpin/logger';
import {isUsable} from '@lockpin/membership';
import {createIncarnation} from '@lockpin/once';
import {BoxListClient} from '../connection/boxListClient.js';
import {DatagramSocket} from '../connection/datagramSocket.js';
import {LogClient} from '../connection/logClient.js';
import {connectionBounds} from '../connection/connectionBounds.js';
import {PeerChannels} from '../connection/peerChannels.js';
import type {PeerViolation} from '../connection/peerProtocol.js';
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
import {createSingletonRegistrar} from './singletonRegistrar.js';
import {TimelineStore} from './timelineStore.js';
import {every} from './timers.js';

/**
 * Maximum number of box names sent to a watch for a version not yet in force
 * there.
 */
const MAXIMUM_MISSING_BOXES = 10;

/** Injection tokens of the container. */
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

/** Registers all components as singletons, created when first resolved. */
export function composeNode(settings: NodeSettings): DependencyContainer {
  const container = root.createChildContainer();
  const registerSingleton = createSingletonRegistrar(container);
  container.register(TOKENS.settings, {useValue: settings});
  registerSingleton(TOKENS.logger, () =>
    createLogger(settings.logLevel, {box: settings.box}),
  );
  registerSingleton(TOKENS.metrics, () =>
    createMetrics(settings.metricsAddress, settings.box),
  );
  registerSingleton(TOKENS.traffic, () => new ControlTraffic());
  registerSingleton(TOKENS.timeline, () => new TimelineStore());
  registerSingleton(TOKENS.pools, () => new UpstreamPools());
  registerSingleton(
    TOKENS.channels,
    (dependencies) =>
      new PeerChannels(dependencies.resolve(TOKENS.traffic), {
        maximumConnections: connectionBounds(settings.descriptors).peers,
        onViolation: violationReporter(dependencies),
      }),
  );
  registerSingleton(
    TOKENS.log,
    (dependencies) =>
      new LogClient(settings.logAddress, dependencies.resolve(TOKENS.traffic)),
  );
  registerSingleton(
    TOKENS.boxList,
    (dependencies) =>
      new BoxListClient(
        settings.boxListAddress,
        dependencies.resolve(TOKENS.traffic),
      ),
  );
  registerSingleton(TOKENS.datagrams, (dependencies) =>
    createDatagrams(dependencies, settings),
  );
  registerSingleton(TOKENS.environment, (dependencies) =>
    createEnvironment(dependencies),
  );
  registerSingleton(TOKENS.host, (dependencies) =>
    createHost(dependencies, settings),
  );
  registerSingleton(TOKENS.guardService, (dependencies) =>
    createGuardService(dependencies),
  );
  registerSingleton(TOKENS.entryService, (dependencies) =>
    createEntryService(dependencies, settings),
  );
  registerSingleton(TOKENS.watches, (dependencies) =>
    createWatchHub(dependencies),
  );
  registerSingleton(TOKENS.peerServer, (dependencies) =>
    createPeerServer(dependencies),
  );
  registerSingleton(TOKENS.callerApp, (dependencies) =>
    createCallerHandler(dependencies),
  );
  registerSingleton(TOKENS.operatorApp, (dependencies) =>
    createOperatorHandler(dependencies, settings),
  );
  return container;
}

function createDatagrams(
  dependencies: DependencyContainer,
  {peerAddress}: NodeSettings,
): DatagramSocket {
  const host = dependencies.resolve(TOKENS.host);
  const traffic = dependencies.resolve(TOKENS.traffic);
  return new DatagramSocket(peerAddress, traffic, (datagram) =>
    host.datagramReceived(datagram),
  );
}

function createCallerHandler(
  dependencies: DependencyContainer,
): RequestHandler {
  const host = dependencies.resolve(TOKENS.host);
  return createCallerApp({
    entry: dependencies.resolve(TOKENS.entryService),
    state: () => host.control.replica.state,
    isReady: () => host.isReady,
  });
}

function createOperatorHandler(
  dependencies: DependencyContainer,
  {bootstrapTokenHash}: NodeSettings,
): RequestHandler {
  return createOperatorApp({
    host: dependencies.resolve(TOKENS.host),
    watches: dependencies.resolve(TOKENS.watches),
    timeline: dependencies.resolve(TOKENS.timeline),
    traffic: dependencies.resolve(TOKENS.traffic),
    bootstrapTokenHash,
  });
}

function createEnvironment(dependencies: DependencyContainer): NodeEnvironment {
  const log = dependencies.resolve(TOKENS.log);
  const channels = dependencies.resolve(TOKENS.channels);
  const boxList = dependencies.resolve(TOKENS.boxList);
  return {
    clock: Date.now,
    random: Math.random,
    every,
    sendDatagram: (address, datagram) =>
      dependencies.resolve(TOKENS.datagrams).send(address, datagram),
    exchange: (address, request, done) =>
      channels.exchange(address, request, done),
    readLog: (stream, from, wait) => log.read(stream, from, wait),
    appendToLog: (stream, value) => log.append(stream, value),
    listBoxes: () => boxList.read(),
  };
}

function createHost(
  dependencies: DependencyContainer,
  settings: NodeSettings,
): NodeHost {
  const {box, dataCentre, peerAddress, callerAddress, operatorAddress} =
    settings;
  const environment = dependencies.resolve(TOKENS.environment);
  const {clock, random} = environment;
  const incarnation = createIncarnation(clock(), random);
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

function createGuardService(dependencies: DependencyContainer): GuardService {
  const host = dependencies.resolve(TOKENS.host);
  const {clock, random, every} = dependencies.resolve(TOKENS.environment);
  return new GuardService({
    clock,
    random,
    every,
    stateMachine: host.guard,
    pools: dependencies.resolve(TOKENS.pools),
    onNodeAction: (action) => host.handleGuardAction(action),
  });
}

function createEntryService(
  dependencies: DependencyContainer,
  settings: NodeSettings,
): EntryService {
  const host = dependencies.resolve(TOKENS.host);
  const guard = dependencies.resolve(TOKENS.guardService);
  const channels = dependencies.resolve(TOKENS.channels);
  const {clock, random} = dependencies.resolve(TOKENS.environment);
  const {membership} = host.control;
  const remote = new RemoteExchanges((address) => channels.client(address));
  return new EntryService({
    clock,
    random,
    stateMachine: host.entry,
    logger: dependencies.resolve(TOKENS.logger),
    metrics: dependencies.resolve(TOKENS.metrics),
    largestBodyBytes: () => settings.largestBodyBytes,
    protocol: lockpinCallerProtocol(() => host.control.replica.state),
    isOwnBox: (box) => box === settings.box,
    needsGo: (box, repetition) =>
      box !== settings.box && repetition === 'at-most-once',
    isReady: () => host.isReady,
    isLeaving: () => host.isLeaving,
    // Callers behind lockpin mark repeated calls themselves.
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

function createWatchHub(dependencies: DependencyContainer): WatchHub {
  const host = dependencies.resolve(TOKENS.host);
  const {control} = host;
  return new WatchHub({
    version: () => control.replica.version,
    inForce: (version) => {
      const usable = control.membership.all().filter(isUsable);
      const missing = usable.filter(
        ({box}) => (control.news.versionsInForce.get(box) ?? 0) < version,
      );
      return {
        nodes: usable.length - missing.length,
        of: usable.length,
        missing: missing.slice(0, MAXIMUM_MISSING_BOXES).map(({box}) => box),
      };
    },
    onWatcherCount: (count) => host.setWatcherCount(count),
  });
}

function createPeerServer(dependencies: DependencyContainer): PeerServer {
  const host = dependencies.resolve(TOKENS.host);
  const guard = dependencies.resolve(TOKENS.guardService);
  const begin: BeginExchange = (head, handlers) => guard.begin(head, handlers);
  const handlers: PeerServerHandlers = {
    call: (stream) => serveGuardStream(stream, begin),
    exchanges: (stream) => serveExchangeStream(stream, begin),
    exchange: (request, reply) => host.exchangeReceived(request, reply),
  };
  const {descriptors} = dependencies.resolve(TOKENS.settings);
  const logger = dependencies.resolve(TOKENS.logger);
  return new PeerServer(handlers, dependencies.resolve(TOKENS.traffic), {
    maximumConnections: connectionBounds(descriptors).peers,
    onFull: (closed) =>
      logger.warn('connections of other nodes were closed', {...closed}),
    onViolation: violationReporter(dependencies),
  });
}

/** Reports connections closed since the other end violated the protocol. */
function violationReporter(
  dependencies: DependencyContainer,
): (peer: string, violation: PeerViolation) => void {
  const logger = dependencies.resolve(TOKENS.logger);
  return (peer, violation) =>
    logger.warn('peer protocol violated', {peer, violation});
}
