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
  PeerQuestion,
  ReadConfiguration,
  UpstreamAnnouncement,
} from '@lockpin/fleet';
import type {LoadHint} from '@lockpin/routing';
import type {Result} from '@lockpin/types';
import {failure, success} from '@lockpin/utils';
import type {GuardNews} from '../request/guardService.js';
import {CustomerLimits} from './customerLimits.js';
import type {DecisionLog} from './decisionLog.js';
import {createCallBrains, createFleetBrain} from './fleetBrains.js';
import {performFleetAction} from './fleetActions.js';
import type {ConfigurationChange, FleetActionTargets} from './fleetActions.js';
import type {FleetEnvironment, FleetHostListeners} from './fleetEnvironment.js';
import type {FleetNodeSettings} from './fleetPorts.js';
import {FleetKeys} from './fleetKeys.js';
import {FleetStoreCalls} from './fleetStoreCalls.js';
import {logGuardNews} from './guardNewsLog.js';
import {tellOfOwnUpstream} from './ownUpstreamNews.js';
import type {PeerPlace} from './peerTraffic.js';
import {SuspensionReview} from './suspensionReview.js';

/**
 * While calls are under way the guard ticks more often by itself. What the fleet's
 * control waits for takes several hundred milliseconds, and each tick wakes the process.
 */
const TICK_MILLISECONDS = 200;

/** Lives as long as the process. */
export class FleetHost {
  readonly fleet: FleetBrain;
  readonly guard: GuardBrain;
  readonly entry: EntryBrain;
  readonly limits: CustomerLimits;
  readonly keys: FleetKeys;
  private readonly store: FleetStoreCalls;
  private readonly targets: FleetActionTargets;
  private currentRouting: FleetRouting | undefined;
  private listeners: FleetHostListeners | undefined;
  private stopTicking: (() => void) | undefined;
  private stopHearingGains: (() => void) | undefined;
  private readonly suspension: SuspensionReview;
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
    this.suspension = new SuspensionReview(log);
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
    this.keys = new FleetKeys({
      clock: environment.clock,
      fleet: this.fleet,
      policy: () => this.currentSettings.keys,
      customers: () => this.currentRouting?.customers,
      askReader: () => this.askReader(),
    });
    this.targets = {
      store: this.store,
      log,
      listeners: () => this.listeners,
      askPeer: (address, question) => this.askPeer(address, question),
      configurationChanged: (action) => this.configurationChanged(action),
      announcementRefused: () => {
        this.refusedAnnouncements += 1;
      },
      upstreamChanged: (upstream) =>
        tellOfOwnUpstream(
          {settings: this.currentSettings, log, listeners: this.listeners},
          upstream,
        ),
    };
  }

  private createLimits(box: string): CustomerLimits {
    const {directory} = this.fleet;
    const {clock, random} = this.environment;
    return new CustomerLimits({
      box,
      random,
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
      this.suspension.review(() => listeners.onSuspended());
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
    this.suspension.gained(milliseconds);
    this.limits.clockGained(milliseconds);
    this.listeners?.onGuardEvent({kind: 'clock-gained', milliseconds});
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

  /** Takes in what the guard came to believe; permits are not used here. */
  guardActed(action: GuardNews): void {
    logGuardNews(this.log, action);
    if (action.kind === 'upstream-crashed') {
      this.handle({kind: 'runs-crashed', digests: action.digests});
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

  /** An operator lifts a quarantine on all boxes. */
  liftQuarantine(digest: string): void {
    this.handle({kind: 'quarantine-lifted', digest});
  }

  /** The guard of an upstream told how it stands. */
  standingHeard(upstream: string, hint: LoadHint): void {
    this.entry.loads.heard(upstream, this.environment.clock(), hint);
  }

  private handle(event: FleetEvent): readonly FleetAction[] {
    const {clock, random} = this.environment;
    const actions = this.fleet.handle(clock(), random, event);
    actions.forEach((action) => performFleetAction(this.targets, action));
    return actions;
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
  }: ConfigurationChange): void {
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
}
