// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The composition root of a node in a declared fleet, with tsyringe. */

import 'reflect-metadata';
import {container as root} from 'tsyringe';
import type {DependencyContainer, InjectionToken} from 'tsyringe';
import type {PeerQueryReply, PeerQuery} from '@lockpin/fleet';
import type {Logger} from '@lockpin/logger';
import {createIncarnation} from '@lockpin/once';
import {
  FIRST_SERVER_ERROR_STATUS,
  onSuspension,
  steadyClock,
} from '@lockpin/utils';
import {AddressListeners} from '../connection/addressListeners.js';
import {connectionBounds} from '../connection/connectionBounds.js';
import {PeerChannels} from '../connection/peerChannels.js';
import type {PeerViolation} from '../connection/peerProtocol.js';
import {PeerServer} from '../connection/peerServer.js';
import {UpstreamPools} from '../connection/upstreamPools.js';
import type {CallRecord} from '../request/attemptHistory.js';
import type {AnswerMemory} from '../request/answerMemory.js';
import type {PeerNews} from '../request/frames.js';
import {EntryService} from '../request/entryService.js';
import {withCapacityRows} from '../request/capacityRows.js';
import type {BeginExchange} from '../request/exchange.js';
import {
  ADDITIONAL_CREDIT_BYTES,
  INITIAL_CREDIT_BYTES,
  serveExchangeStream,
} from '../request/exchangeStreamServer.js';
import type {NewsHandlers} from '../request/exchangeStreamServer.js';
import {GuardService} from '../request/guardService.js';
import type {OnCut} from '../request/heldAnswer.js';
import {noticeKinds} from '../request/upstreamNotice.js';
import {serveGuardStream} from '../request/guardStreams.js';
import {RemoteExchanges} from '../request/remoteExchanges.js';
import {BoundedWriter} from './boundedWriter.js';
import {ControlTraffic} from './controlTraffic.js';
import {DecisionLog} from './decisionLog.js';
import {createAnswerMemory} from './fleetAnswerMemory.js';
import {FleetHost} from './fleetHost.js';
import type {FleetPorts} from './fleetPorts.js';
import {nestedCallEnded} from './nestedCallEvents.js';
import {mechanismSwitch} from './mechanisms.js';
import {PeerTraffic} from './peerTraffic.js';
import {createPrometheusMetrics} from './prometheusMetrics.js';
import type {TextMetrics} from './prometheusMetrics.js';
import type {MetricName} from './metrics.js';
import {serverProblemReporter} from './serverProblems.js';
import {createSingletonRegistrar} from './singletonRegistrar.js';
import {Subscribers} from './subscribers.js';
import {every} from './timers.js';

/** File descriptor of the decision log. */
const STANDARD_OUTPUT = 1;

/** Maximum body size before any configuration is in force. */
const INITIAL_BODY_LIMIT_BYTES = 1024 * 1024;

/** Counters of guard calls that were refused for some reasons. */
const REFUSAL_METRICS: ReadonlyMap<string, MetricName> = new Map([
  ['nested-busy', 'guard.nestedBusy'],
  ['upstream-refused', 'guard.rejected'],
  ['retries-exhausted', 'guard.retriesExhausted'],
]);

/** Injection tokens of the container. */
export const FLEET_TOKENS = {
  ports: Symbol('ports') as InjectionToken<FleetPorts>,
  writer: Symbol('writer') as InjectionToken<BoundedWriter>,
  log: Symbol('log') as InjectionToken<DecisionLog>,
  listeners: Symbol('listeners') as InjectionToken<AddressListeners>,
  metrics: Symbol('metrics') as InjectionToken<TextMetrics>,
  host: Symbol('host') as InjectionToken<FleetHost>,
  answerMemory: Symbol('answerMemory') as InjectionToken<
    AnswerMemory | undefined
  >,
  pools: Symbol('pools') as InjectionToken<UpstreamPools>,
  channels: Symbol('channels') as InjectionToken<
    PeerChannels<PeerQuery, PeerQueryReply>
  >,
  peerTraffic: Symbol('peerTraffic') as InjectionToken<PeerTraffic>,
  news: Symbol('news') as InjectionToken<Subscribers<PeerNews>>,
  followers: Symbol('followers') as InjectionToken<Subscribers<PeerNews>>,
  remote: Symbol('remote') as InjectionToken<RemoteExchanges>,
  guardService: Symbol('guardService') as InjectionToken<GuardService>,
  entryService: Symbol('entryService') as InjectionToken<EntryService>,
  peerServer: Symbol('peerServer') as InjectionToken<
    PeerServer<PeerQuery, PeerQueryReply>
  >,
} as const;

/** Registers all components as singletons, created when first resolved. */
export function composeFleetNode(ports: FleetPorts): DependencyContainer {
  const container = root.createChildContainer();
  const registerSingleton = createSingletonRegistrar(container);
  container.register(FLEET_TOKENS.ports, {useValue: ports});
  registerSingleton(
    FLEET_TOKENS.writer,
    () => new BoundedWriter(STANDARD_OUTPUT),
  );
  registerSingleton(FLEET_TOKENS.log, createLog);
  registerSingleton(FLEET_TOKENS.listeners, createListeners);
  registerSingleton(FLEET_TOKENS.metrics, () => createPrometheusMetrics());
  registerSingleton(FLEET_TOKENS.host, createHost);
  registerSingleton(FLEET_TOKENS.answerMemory, (dependencies) =>
    createAnswerMemory(
      ports.settings,
      dependencies.resolve(FLEET_TOKENS.metrics),
    ),
  );
  registerSingleton(FLEET_TOKENS.pools, () => new UpstreamPools());
  registerSingleton(FLEET_TOKENS.channels, createChannels);
  registerSingleton(
    FLEET_TOKENS.peerTraffic,
    (dependencies) =>
      new PeerTraffic(dependencies.resolve(FLEET_TOKENS.metrics)),
  );
  registerSingleton(FLEET_TOKENS.news, () => new Subscribers<PeerNews>());
  registerSingleton(FLEET_TOKENS.followers, createFollowers);
  registerSingleton(FLEET_TOKENS.remote, createRemoteExchanges);
  registerSingleton(FLEET_TOKENS.guardService, createGuardService);
  registerSingleton(FLEET_TOKENS.entryService, createEntryService);
  registerSingleton(FLEET_TOKENS.peerServer, createPeerServer);
  return container;
}

function createLog(dependencies: DependencyContainer): DecisionLog {
  const {box, dataCentre} = dependencies.resolve(FLEET_TOKENS.ports).settings;
  const writer = dependencies.resolve(FLEET_TOKENS.writer);
  return new DecisionLog({
    clock: Date.now, // lines of different boxes are ordered by the time of day
    writeLine: (line) => writer.writeLine(line),
    common: {box, dataCentre},
  });
}

function createListeners(dependencies: DependencyContainer): AddressListeners {
  const log = dependencies.resolve(FLEET_TOKENS.log);
  const {onAddressUnusable} = dependencies.resolve(FLEET_TOKENS.ports);
  return new AddressListeners({
    clock: steadyClock,
    onReport: ({kind, ...report}) => {
      log.event(`address-${kind}`, report);
      if (kind === 'unusable') {
        onAddressUnusable?.(report.purpose);
      }
    },
  });
}

function createHost(dependencies: DependencyContainer): FleetHost {
  const {settings, store, readConfiguration} = dependencies.resolve(
    FLEET_TOKENS.ports,
  );
  const channels = dependencies.resolve(FLEET_TOKENS.channels);
  const incarnation = createIncarnation(steadyClock(), Math.random);
  return new FleetHost(
    settings,
    incarnation,
    {
      clock: steadyClock,
      random: Math.random,
      onSuspension,
      every,
      store,
      queryPeer: (address, query, done) =>
        channels.exchange(address, query, done),
    },
    readConfiguration,
    dependencies.resolve(FLEET_TOKENS.log),
  );
}

function createChannels(
  dependencies: DependencyContainer,
): PeerChannels<PeerQuery, PeerQueryReply> {
  const log = dependencies.resolve(FLEET_TOKENS.log);
  const metrics = dependencies.resolve(FLEET_TOKENS.metrics);
  const {settings} = dependencies.resolve(FLEET_TOKENS.ports);
  return new PeerChannels(new ControlTraffic(), {
    maximumConnections: connectionBounds(settings.descriptors).peers,
    onRenewed: (peer, cause) => {
      log.event('peer-connection-renewed', {peer, cause});
      metrics.increment('peer.renewed', {cause});
    },
    onViolation: violationReporter(dependencies),
  });
}

/** Reports connections closed since the other end violated the protocol. */
function violationReporter(
  dependencies: DependencyContainer,
): (peer: string, violation: PeerViolation) => void {
  const log = dependencies.resolve(FLEET_TOKENS.log);
  const metrics = dependencies.resolve(FLEET_TOKENS.metrics);
  return (peer, violation) => {
    log.event('peer-protocol-violated', {peer, violation});
    metrics.increment('peer.violations', {violation});
  };
}

function createFollowers(
  dependencies: DependencyContainer,
): Subscribers<PeerNews> {
  const host = dependencies.resolve(FLEET_TOKENS.host);
  return new Subscribers<PeerNews>((count) => host.setFollowerCount(count));
}

function createRemoteExchanges(
  dependencies: DependencyContainer,
): RemoteExchanges {
  const channels = dependencies.resolve(FLEET_TOKENS.channels);
  const traffic = dependencies.resolve(FLEET_TOKENS.peerTraffic);
  const host = dependencies.resolve(FLEET_TOKENS.host);
  const memory = dependencies.resolve(FLEET_TOKENS.answerMemory);
  return new RemoteExchanges(
    (address) => channels.client(address),
    createNewsHandlers(dependencies),
    (address) => channels.renew(address, 'stream-silent'),
    (address) => traffic.counter(host.placeOf(address)),
    () => (memory?.isAmple === false ? 0 : ADDITIONAL_CREDIT_BYTES),
  );
}

function createNewsHandlers(dependencies: DependencyContainer): NewsHandlers {
  const host = dependencies.resolve(FLEET_TOKENS.host);
  const subscribers = dependencies.resolve(FLEET_TOKENS.news);
  const followers = dependencies.resolve(FLEET_TOKENS.followers);
  return {
    first: () => versionNews(host),
    onNews: (news, answer) => {
      switch (news.kind) {
        case 'version':
          host.peerVersionReported(news.address, news.version);
          break;
        case 'standing':
          host.standingReported(news.upstream, news.hint);
          break;
        case 'report':
        case 'boxes':
        case 'records-lost':
        case 'store-restored':
          host.updateReceived(news);
          break;
        case 'version-request':
          host.versionRequested(news.clock);
          answer(versionNews(host));
          break;
        case 'limit-request':
          answer(host.limits.handleRequest(news));
          break;
        case 'limit-reply':
          host.limits.replyReceived(news);
          break;
        case 'follow':
          // Handled by the stream server, the only end that receives it.
          break;
      }
    },
    subscribe: (sendNews) => subscribers.add(sendNews),
    follow: (sendNews) => followers.add(sendNews),
  };
}

/** Returns the message that informs peers of the version in force here. */
export function versionNews(host: FleetHost): PeerNews {
  return {
    kind: 'version',
    version: host.fleet.version,
    address: host.settings.peerAddress,
  };
}

function answerCut(
  dependencies: DependencyContainer,
  side: 'guard' | 'entry',
): OnCut {
  const log = dependencies.resolve(FLEET_TOKENS.log);
  const metrics = dependencies.resolve(FLEET_TOKENS.metrics);
  return ({requestId, customer}, reason) => {
    log.event('answer-cut', {requestId, customer, side, reason});
    metrics.increment('answers.cut', {side, reason});
  };
}

function createGuardService(dependencies: DependencyContainer): GuardService {
  const host = dependencies.resolve(FLEET_TOKENS.host);
  const log = dependencies.resolve(FLEET_TOKENS.log);
  const metrics = dependencies.resolve(FLEET_TOKENS.metrics);
  const {upstreamProtocol} = dependencies.resolve(FLEET_TOKENS.ports);
  return new GuardService({
    clock: steadyClock,
    random: Math.random,
    every,
    stateMachine: host.guard,
    pools: dependencies.resolve(FLEET_TOKENS.pools),
    protocol: upstreamProtocol,
    answerMemory: dependencies.resolve(FLEET_TOKENS.answerMemory),
    onCut: answerCut(dependencies, 'guard'),
    onNodeAction: (action) => host.handleGuardAction(action),
    onEnded: (record) => {
      log.guardCall(record);
      const {outcome, ranMilliseconds, head, notice, reason} = record;
      const {doubtReason, limit} = record;
      if (outcome === 'answered') {
        host.runSurvived(head.requestDigest);
      }
      metrics.increment('guard.calls', {outcome});
      if (doubtReason !== undefined) {
        metrics.increment('guard.doubted', {reason: doubtReason});
      }
      if (limit !== undefined) {
        metrics.increment('guard.overLimit');
      }
      const refusalMetric = REFUSAL_METRICS.get(reason);
      if (refusalMetric !== undefined) {
        metrics.increment(refusalMetric);
      }
      for (const kind of noticeKinds(notice)) {
        metrics.increment('guard.notices', {kind});
      }
      metrics.timing('guard.milliseconds', ranMilliseconds, {outcome});
    },
  });
}

function createEntryService(dependencies: DependencyContainer): EntryService {
  const host = dependencies.resolve(FLEET_TOKENS.host);
  const guard = dependencies.resolve(FLEET_TOKENS.guardService);
  const remote = dependencies.resolve(FLEET_TOKENS.remote);
  const log = dependencies.resolve(FLEET_TOKENS.log);
  const metrics = dependencies.resolve(FLEET_TOKENS.metrics);
  const {callerProtocol, settings} = dependencies.resolve(FLEET_TOKENS.ports);
  return new EntryService({
    clock: steadyClock,
    random: Math.random,
    stateMachine: host.entry,
    logger: createDecisionLogger(log),
    metrics,
    answerMemory: dependencies.resolve(FLEET_TOKENS.answerMemory),
    onCut: answerCut(dependencies, 'entry'),
    largestBodyBytes: () =>
      host.routing?.configuration.limits.bodyBytes ?? INITIAL_BODY_LIMIT_BYTES,
    protocol: callerProtocol({
      routing: () => host.routing,
      settings: () => host.settings,
      authorize: (hash, isPublic) => host.keys.authorize(hash, isPublic),
    }),
    isReady: () => host.isReady,
    isLeaving: () => host.refusesCalls,
    confirmKeys: () => host.keys.confirm(),
    admit: (customer) => host.limits.admit(customer),
    onNotRun: (customer) => host.limits.notRun(customer),
    onUnrouted: (unrouted) => log.event('request-refused', {...unrouted}),
    mayBeRepeat: (parentRequestId) =>
      host.guard.mayBeRepeat(steadyClock(), parentRequestId),
    parentCall: (parentRequestId, kind) => {
      const parent = host.guard.parentCall(parentRequestId, kind);
      if (parent !== undefined) {
        const {service} = kind;
        guard.handle({kind: 'nested-call-began', parentRequestId, service});
      }
      return parent;
    },
    incarnation: () => undefined,
    isOwnBox: (box) => box === settings.box,
    needsGo: (box) => box !== settings.box,
    onSilence: (box) => remote.countUnansweredOffer(host.peerAddress(box)),
    onEnded: (record) => {
      log.call(record);
      const nestedEnd = nestedCallEnded(record);
      if (nestedEnd !== undefined) {
        metrics.increment('calls.nested', {end: nestedEnd.end});
        guard.handle(nestedEnd);
      }
      metrics.count('calls.offers', record.attempts.length);
      if (hasFailed(record)) {
        guard.handle({kind: 'own-call-failed'});
      }
    },
    begin: (box, head, handlers) =>
      box === settings.box
        ? guard.begin(head, handlers)
        : remote.begin(host.peerAddress(box), head, handlers),
  });
}

function hasFailed({outcome, status}: CallRecord): boolean {
  return (
    outcome === 'not-run' ||
    outcome === 'unknown' ||
    status >= FIRST_SERVER_ERROR_STATUS
  );
}

function createPeerServer(
  dependencies: DependencyContainer,
): PeerServer<PeerQuery, PeerQueryReply> {
  const host = dependencies.resolve(FLEET_TOKENS.host);
  const guard = dependencies.resolve(FLEET_TOKENS.guardService);
  const onProblem = serverProblemReporter(
    dependencies.resolve(FLEET_TOKENS.log),
    dependencies.resolve(FLEET_TOKENS.metrics),
    'peers',
  );
  const news = createNewsHandlers(dependencies);
  const ownBegin: BeginExchange = (head, handlers) =>
    guard.begin(head, handlers);
  const begin = mechanismSwitch(host.settings.switchedOff)('shared-capacity')
    ? withCapacityRows(ownBegin, steadyClock, host.entry.loads.capacity)
    : ownBegin;
  return new PeerServer<PeerQuery, PeerQueryReply>(
    {
      call: (stream) => serveGuardStream(stream, begin),
      exchanges: (stream) =>
        serveExchangeStream(stream, begin, news, INITIAL_CREDIT_BYTES),
      exchange: (query, reply) =>
        reply(host.fleet.answer(steadyClock(), query)),
    },
    new ControlTraffic(),
    {
      onViolation: violationReporter(dependencies),
      onAcceptFailed: ({message: detail}) =>
        onProblem({kind: 'accept-failed', detail}),
      maximumConnections: connectionBounds(host.settings.descriptors).peers,
      onFull: (closed) =>
        onProblem({kind: 'connections-full', detail: JSON.stringify(closed)}),
    },
  );
}

function createDecisionLogger(log: DecisionLog): Logger {
  return {
    debug: () => undefined,
    info: (message, fields) => log.event('info', {message, ...fields}),
    warn: (message, fields) => log.event('warning', {message, ...fields}),
    error: (message, fields) => log.event('error', {message, ...fields}),
  };
}
