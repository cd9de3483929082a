// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Drives the brains of a node in a declared fleet. */

import type {EntryBrain, GuardBrain} from '@lockpin/brain';
import {FleetRouting} from '@lockpin/fleet';
import type {
  AnnouncementProblem,
  FleetAction,
  FleetBrain,
  FleetEvent,
  FleetNews,
  OwnUpstream,
  PeerQuestion,
  ReadConfiguration,
  UpstreamAnnouncement,
} from '@lockpin/fleet';
import type {LoadHint} from '@lockpin/routing';
import type {Result} from '@lockpin/types';
import {failure, incarnationText, success} from '@lockpin/utils';
import type {GuardNews} from '../request/guardService.js';
import {CustomerLimits} from './customerLimits.js';
import type {DecisionLog} from './decisionLog.js';
import {createCallBrains, createFleetBrain} from './fleetBrains.js';
import type {FleetEnvironment, FleetHostListeners} from './fleetEnvironment.js';
import type {FleetNodeSettings} from './fleetPorts.js';
import {FleetKeys} from './fleetKeys.js';
import {FleetStoreCalls} from './fleetStoreCalls.js';
import {ownUpstreamResource} from './ownUpstreamResource.js';
import type {PeerPlace} from './peerTraffic.js';

/**
 * While calls are under way the guard ticks more often by itself. What the fleet's
 * control waits for takes several hundred milliseconds, and each tick wakes the process.
 */
const TICK_MILLISECONDS = 200;

/** Numbers that tell the processes of a box apart, as far as their messages live. */
const PROCESS_NUMBERS = 2 ** 32;

/** Lives as long as the process. */
export class FleetHost {
  readonly fleet: FleetBrain;
  readonly guard: GuardBrain;
  readonly entry: EntryBrain;
  readonly limits: CustomerLimits;
  readonly keys: FleetKeys;
  private readonly store: FleetStoreCalls;
  private currentRouting: FleetRouting | undefined;
  private listeners: FleetHostListeners | undefined;
  private stopTicking: (() => void) | undefined;
  private stopHearingGains: (() => void) | undefined;
  /** Suspension that the calls in hand were not looked through for, in milliseconds. */
  private suspended = 0;
  private isFinishing = false;
  /** Statements of upstreams that were refused since the start. */
  refusedAnnouncements = 0;
  /** Nodes that follow this one. */
  private followers = 0;

  constructor(
    private currentSettings: FleetNodeSettings,
    incarnation: string,
    private readonly environment: FleetEnvironment,
    readConfiguration: ReadConfiguration,
    private readonly log: DecisionLog,
  ) {
    this.fleet = createFleetBrain(currentSettings, readConfiguration);
    this.store = new FleetStoreCalls(environment.store, log, (event) =>
      this.handle(event),
    );
    const {guard, entry} = createCallBrains({
      fleet: this.fleet,
      incarnation,
      startedAt: environment.clock(),
      settings: () => this.currentSettings,
    });
    this.guard = guard;
    this.entry = entry;
    this.limits = this.createLimits(currentSettings.box);
    this.keys = this.createKeys();
  }

  private createKeys(): FleetKeys {
    return new FleetKeys({
      clock: this.environment.clock,
      fleet: this.fleet,
      policy: () => this.currentSettings.keys,
      customers: () => this.currentRouting?.customers,
      askReader: () => this.askReader(),
    });
  }

  private createLimits(box: string): CustomerLimits {
    const {directory} = this.fleet;
    const {clock, random} = this.environment;
    return new CustomerLimits({
      box,
      process: Math.floor(random() * PROCESS_NUMBERS),
      clock,
      rules: () => this.currentSettings.limits,
      limitOf: (name) => this.currentRouting?.customers.named(name)?.limit,
      fleet: () => ({boxes: directory.size, candidates: directory.working}),
      send: (to, message) => this.listeners?.onLimitMessage(to, message),
      onSilence: (to) => this.listeners?.onSilence(to),
    });
  }

  get settings(): FleetNodeSettings {
    return this.currentSettings;
  }

  get routing(): FleetRouting | undefined {
    return this.currentRouting;
  }

  /** A node that knows no configuration would have to guess. */
  get isReady(): boolean {
    return this.currentRouting !== undefined;
  }

  /** Calls that begin now could not be finished before the process ends. */
  get refusesCalls(): boolean {
    return this.isFinishing;
  }

  /** Only what is in flight is served from here on. */
  finish(): void {
    this.isFinishing = true;
  }

  /** Asks a reader for a newer configuration; false when none can be asked. */
  private askReader(): boolean {
    this.handle({kind: 'unknown-key-shown'});
    return this.fleet.isAskingPeer;
  }

  /** The address at which a box's node takes calls of other nodes. */
  peerAddress(box: string): string {
    return this.fleet.directory.get(box)?.peerAddress ?? '';
  }

  /** Whether the node at an address is in this data centre. */
  placeOf(address: string): PeerPlace {
    const {dataCentre} = this.currentSettings;
    const isNear = this.fleet.directory.dataCentreAt(address) === dataCentre;
    return isNear ? 'same-data-centre' : 'other-data-centre';
  }

  start(listeners: FleetHostListeners): void {
    this.listeners = listeners;
    this.stopHearingGains = this.environment.onClockGain((milliseconds) =>
      this.clockGained(milliseconds),
    );
    this.stopTicking = this.environment.every(TICK_MILLISECONDS, () => {
      this.reviewDeadlines();
      this.tick();
      // Boxes lend before the first limit is declared, so that it can be kept at once.
      if (this.currentRouting?.customers.asksForKeys) {
        this.limits.tick();
      }
      listeners.onGuardEvent({kind: 'tick'});
    });
    this.tick();
  }

  /** Called while the clock is read: no time that counts the gain was seen before. */
  private clockGained(milliseconds: number): void {
    this.suspended += milliseconds;
    this.limits.clockGained(milliseconds);
    this.listeners?.onGuardEvent({kind: 'clock-gained', milliseconds});
  }

  /** The clock counts suspension, timers do not: what is overdue ends now. */
  private reviewDeadlines(): void {
    if (this.suspended > 0) {
      this.log.event('machine-suspended', {
        milliseconds: Math.round(this.suspended),
      });
      this.suspended = 0;
      this.listeners?.onSuspended();
    }
  }

  private tick(): void {
    this.handle({kind: 'tick', followers: this.followers});
  }

  stop(): void {
    this.stopTicking?.();
    this.stopHearingGains?.();
  }

  /** The guard refuses new calls from here on; entries go elsewhere at once. */
  leave(): void {
    this.handle({kind: 'leaving'});
    this.listeners?.onGuardEvent({kind: 'leaving'});
  }

  /** Takes over settings that may change while the process runs. */
  reload(settings: FleetNodeSettings): void {
    this.currentSettings = settings;
  }

  /** Takes in what the upstream beside this node says of itself, or says why not. */
  announced(
    announcement: UpstreamAnnouncement,
  ): Result<undefined, AnnouncementProblem> {
    const actions = this.handle({kind: 'upstream-announced', announcement});
    const refused = actions.find(({kind}) => kind === 'announcement-refused');
    return refused?.kind === 'announcement-refused'
      ? failure(refused.problem)
      : success(undefined);
  }

  /** Counts the nodes that follow this one. */
  followersChanged(followers: number): void {
    const hasGrown = followers > this.followers;
    this.followers = followers;
    if (hasGrown) {
      this.handle({kind: 'follower-came'});
    }
  }

  /** A followed node told something. */
  newsTold(news: FleetNews): void {
    this.handle({kind: 'news-told', news});
  }

  /** A peer told the version that is in force there. */
  peerVersionHeard(address: string, version: number): void {
    this.handle({kind: 'peer-version-heard', address, version});
  }

  /** Logs what the guard came to believe; permits are not used here. */
  guardActed(action: GuardNews): void {
    if (action.kind === 'upstream-crashed') {
      const {upstream, digests} = action;
      this.log.event(action.kind, {subject: upstream, requests: digests});
      this.handle({kind: 'runs-crashed', digests});
    }
    if (action.kind === 'timeline') {
      const {event, subject, detail} = action;
      this.log.event(event, {subject, ...detail});
    }
    if (action.kind === 'standing') {
      const {upstream, hint} = action;
      this.standingHeard(upstream, hint);
      this.listeners?.onStanding(upstream, hint);
    }
  }

  /** A run of a request ended here, and its upstream lives. */
  runSurvived(digest: string): void {
    this.handle({kind: 'run-survived', digest});
  }

  /** The guard of an upstream told how it stands. */
  standingHeard(upstream: string, hint: LoadHint): void {
    this.entry.loads.heard(upstream, this.environment.clock(), hint);
  }

  private handle(event: FleetEvent): readonly FleetAction[] {
    const {clock, random} = this.environment;
    const actions = this.fleet.handle(clock(), random, event);
    actions.forEach((action) => this.perform(action));
    return actions;
  }

  private perform(action: FleetAction): void {
    switch (action.kind) {
      case 'read-newest':
      case 'follow':
      case 'write':
      case 'drop-record':
      case 'write-for':
        this.store.perform(action);
        break;
      case 'ask-peer':
        this.askPeer(action.address, action.question);
        break;
      case 'follow-peers':
        this.listeners?.onFollow(action.peers);
        break;
      case 'tell-followers':
        this.listeners?.onFollowerNews(action.news);
        break;
      case 'tell-entries':
        this.listeners?.onEntryNews(action.news);
        break;
      case 'tell-nodes':
        this.listeners?.onNodeNews(action.addresses, action.news);
        break;
      case 'request-quarantined':
        this.listeners?.onQuarantined(action.digest);
        break;
      case 'configuration-changed':
        this.configurationChanged(action);
        break;
      case 'announcement-refused':
        // Whoever announced it is told.
        this.refusedAnnouncements += 1;
        break;
      case 'upstream-changed':
        this.upstreamChanged(action.upstream);
        break;
      case 'note':
        this.log.event(action.event, {
          subject: action.subject,
          ...action.detail,
        });
        break;
    }
  }

  private askPeer(address: string, question: PeerQuestion): void {
    this.environment.askPeer(address, question, (knowledge) => {
      this.handle({kind: 'peer-replied', address, knowledge});
      this.keys.answered(knowledge !== undefined);
    });
  }

  private configurationChanged({
    configuration,
    source,
  }: FleetAction & {readonly kind: 'configuration-changed'}): void {
    const before = this.currentRouting;
    this.currentRouting = new FleetRouting(
      configuration,
      this.fleet.directory,
      this.environment.random,
      before,
    );
    if (before !== undefined) {
      const {customers} = this.currentRouting;
      this.limits.limitsChanged(customers.changedLimits(before.customers));
    }
    this.log.event('configuration-in-force', {
      version: configuration.version,
      before: before?.configuration.version ?? 0,
      source,
      routes: configuration.routes.length,
    });
    this.listeners?.onVersion(configuration.version);
  }

  private upstreamChanged(upstream: OwnUpstream): void {
    const {service, incarnation} = upstream;
    const resource = ownUpstreamResource(this.currentSettings, upstream);
    this.log.event('upstream-announced', {
      subject: resource.name,
      incarnation: incarnationText(incarnation),
      sequence: upstream.sequence,
      state: resource.spec.state,
    });
    this.listeners?.onUpstreams([resource]);
    this.listeners?.onGuardEvent({
      kind: 'services-changed',
      services: [{name: service, sensitivity: 'fast', upstreams: [resource]}],
    });
  }
}
