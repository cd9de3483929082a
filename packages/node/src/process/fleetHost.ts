// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Drives the state machines of a node in a declared fleet. */

import type {
  EntryStateMachine,
  GuardStateMachine,
  PlannedStop,
} from '@lockpin/brain';
import {FleetRouting} from '@lockpin/fleet';
import type {
  AnnouncementProblem,
  FleetAction,
  FleetStateMachine,
  FleetEvent,
  FleetUpdate,
  PeerQuery,
  ReadConfiguration,
  UpstreamAnnouncement,
} from '@lockpin/fleet';
import type {LoadHint} from '@lockpin/routing';
import type {Result} from '@lockpin/types';
import {TickMonitor, failure, success} from '@lockpin/utils';
import type {GuardNodeAction} from '../request/guardService.js';
import {CustomerLimits} from './customerLimits.js';
import type {DecisionLog} from './decisionLog.js';
import {
  createCallStateMachines,
  createFleetStateMachine,
} from './fleetStateMachines.js';
import {performFleetAction} from './fleetActions.js';
import type {ConfigurationChange, FleetActionHandlers} from './fleetActions.js';
import type {FleetEnvironment, FleetHostListeners} from './fleetEnvironment.js';
import type {FleetNodeSettings} from './fleetPorts.js';
import {FleetKeys} from './fleetKeys.js';
import {FleetStoreCalls} from './fleetStoreCalls.js';
import {logGuardAction} from './logGuardAction.js';
import {configureOwnUpstream} from './configureOwnUpstream.js';
import type {PeerPlace} from './peerTraffic.js';
import {SuspensionMonitor} from './suspensionMonitor.js';

/**
 * Interval between ticks. The guard itself ticks more often while calls are in
 * flight. The waits of the fleet's state machine take several hundred
 * milliseconds, so shorter intervals would only wake the process more often.
 */
const TICK_MILLISECONDS = 200;

/** A tick that is later than this is logged. */
const LATE_TICK_MILLISECONDS = 200;

/** Runs the state machines of one node and performs their actions. */
export class FleetHost {
  readonly fleet: FleetStateMachine;
  readonly guard: GuardStateMachine;
  readonly entry: EntryStateMachine;
  readonly limits: CustomerLimits;
  readonly keys: FleetKeys;
  private readonly store: FleetStoreCalls;
  private readonly actionHandlers: FleetActionHandlers;
  private currentRouting: FleetRouting | undefined;
  private listeners: FleetHostListeners | undefined;
  private stopTicks: (() => void) | undefined;
  private unsubscribeFromSuspensions: (() => void) | undefined;
  private readonly suspensionMonitor: SuspensionMonitor;
  private readonly tickMonitor = new TickMonitor({
    interval: TICK_MILLISECONDS,
    minimumDelay: LATE_TICK_MILLISECONDS,
  });
  private isFinishing = false;
  /** Number of upstream announcements refused since the start. */
  refusedAnnouncements = 0;
  /** Number of nodes that follow this one. */
  private followers = 0;

  constructor(
    private currentSettings: FleetNodeSettings,
    incarnation: string,
    private readonly environment: FleetEnvironment,
    readConfiguration: ReadConfiguration,
    private readonly log: DecisionLog,
  ) {
    this.suspensionMonitor = new SuspensionMonitor(log);
    this.fleet = createFleetStateMachine(currentSettings, readConfiguration);
    this.store = new FleetStoreCalls(environment.store, log, (event) =>
      this.handle(event),
    );
    const {guard, entry} = createCallStateMachines({
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
      queryReader: () => this.queryReader(),
    });
    this.actionHandlers = {
      store: this.store,
      log,
      listeners: () => this.listeners,
      queryPeer: (address, query) => this.queryPeer(address, query),
      configurationChanged: (action) => this.configurationChanged(action),
      announcementRefused: () => {
        this.refusedAnnouncements += 1;
      },
      upstreamChanged: (upstream) =>
        configureOwnUpstream(
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
      onUnresponsive: (to) => this.listeners?.onUnresponsive(to),
    });
  }

  get settings(): FleetNodeSettings {
    return this.currentSettings;
  }

  get routing(): FleetRouting | undefined {
    return this.currentRouting;
  }

  /** Calls cannot be routed before a configuration is known. */
  get isReady(): boolean {
    return this.currentRouting !== undefined;
  }

  /** Whether the upstream of this box announced that it leaves. */
  get isUpstreamLeaving(): boolean {
    return this.fleet.own.isLeaving;
  }

  /**
   * Whether new calls are refused, since they might not finish before the
   * process ends.
   */
  get refusesCalls(): boolean {
    return this.isFinishing;
  }

  /** Refuses new calls from now on; calls in flight are still served. */
  refuseNewCalls(): void {
    this.isFinishing = true;
  }

  /**
   * Queries a reader for a newer configuration; returns false if none is
   * reachable.
   */
  private queryReader(): boolean {
    this.handle({kind: 'unknown-key-presented'});
    return this.fleet.hasPendingPeerQuery;
  }

  /** Returns the address at which a box's node accepts calls of other nodes. */
  peerAddress(box: string): string {
    return this.fleet.directory.get(box)?.peerAddress ?? '';
  }

  /** Returns whether the node at an address is in this data centre. */
  placeOf(address: string): PeerPlace {
    const {dataCentre} = this.currentSettings;
    const isNear = this.fleet.directory.dataCentreAt(address) === dataCentre;
    return isNear ? 'same-data-centre' : 'other-data-centre';
  }

  start(listeners: FleetHostListeners): void {
    this.listeners = listeners;
    this.unsubscribeFromSuspensions = this.environment.onSuspension(
      (milliseconds) => this.clockGained(milliseconds),
    );
    this.stopTicks = this.environment.every(TICK_MILLISECONDS, () => {
      this.suspensionMonitor.handleSuspension(() => listeners.onSuspended());
      this.logDelay();
      this.tick();
      // Token pools start before the first limit is declared, so that it is
      // enforced at once.
      if (this.currentRouting?.customers.requiresKeys) {
        this.limits.tick();
      }
      listeners.onGuardEvent({kind: 'tick'});
    });
    this.tick();
  }

  /**
   * Called while the clock is read, before any reading includes the suspension.
   */
  private clockGained(milliseconds: number): void {
    this.suspensionMonitor.addSuspension(milliseconds);
    this.limits.clockGained(milliseconds);
    this.listeners?.onGuardEvent({kind: 'clock-gained', milliseconds});
  }

  private logDelay(): void {
    const delay = this.tickMonitor.tick(this.environment.clock());
    if (delay > 0) {
      this.log.event('event-loop-delayed', {milliseconds: Math.round(delay)});
    }
  }

  private tick(): void {
    this.handle({kind: 'tick', followers: this.followers});
  }

  stop(): void {
    this.stopTicks?.();
    this.unsubscribeFromSuspensions?.();
  }

  /**
   * Makes the guard refuse new calls, so that entries use other boxes at once.
   */
  leave(stop: PlannedStop): void {
    this.handle({kind: 'leaving'});
    this.listeners?.onGuardEvent({kind: 'leaving', stop});
  }

  /** Applies settings that may change while the process runs. */
  reload(settings: FleetNodeSettings): void {
    this.currentSettings = settings;
  }

  /**
   * Applies an announcement of the upstream on this box, or returns why it is
   * refused.
   */
  handleAnnouncement(
    announcement: UpstreamAnnouncement,
  ): Result<undefined, AnnouncementProblem> {
    const actions = this.handle({kind: 'upstream-announced', announcement});
    const refused = actions.find(({kind}) => kind === 'announcement-refused');
    return refused?.kind === 'announcement-refused'
      ? failure(refused.problem)
      : success(undefined);
  }

  /** Sets whether other nodes can reach this one. */
  setReachable(isReachable: boolean): void {
    this.handle({kind: 'reachability-changed', isReachable});
  }

  /** Sets the number of nodes that follow this one. */
  setFollowerCount(followers: number): void {
    const hasGrown = followers > this.followers;
    this.followers = followers;
    if (hasGrown) {
      this.handle({kind: 'follower-added'});
    }
  }

  /** Handles an update from a followed node. */
  updateReceived(news: FleetUpdate): void {
    this.handle({kind: 'update-received', news});
  }

  /** Handles a peer's request for the version. */
  versionRequested(clock: number): void {
    this.handle({kind: 'version-requested', clock});
  }

  /** Handles a peer's report of the version in force there. */
  peerVersionReported(address: string, version: number): void {
    this.handle({kind: 'peer-version-reported', address, version});
  }

  /**
   * Handles actions of the guard that concern the node; permits are not used
   * here.
   */
  handleGuardAction(action: GuardNodeAction): void {
    logGuardAction(this.log, action);
    if (action.kind === 'upstream-crashed') {
      this.handle({kind: 'runs-crashed', digests: action.digests});
    }
    if (action.kind === 'upstream-leaving') {
      const {incarnation} = action;
      this.handle({kind: 'upstream-leaving', incarnation});
    }
    if (action.kind === 'standing') {
      const {upstream, hint} = action;
      this.standingReported(upstream, hint);
      this.listeners?.onStanding(upstream, hint);
    }
  }

  /** Reports that a request ran here and its upstream survived. */
  runSurvived(digest: string): void {
    this.handle({kind: 'run-survived', digest});
  }

  /** Lifts the quarantine of a request on all boxes. */
  liftQuarantine(digest: string): void {
    this.handle({kind: 'quarantine-lifted', digest});
  }

  /** Handles a load hint from the guard of an upstream. */
  standingReported(upstream: string, hint: LoadHint): void {
    this.entry.loads.hintReceived(upstream, this.environment.clock(), hint);
  }

  private handle(event: FleetEvent): readonly FleetAction[] {
    const {clock, random} = this.environment;
    const actions = this.fleet.handle(clock(), random, event);
    actions.forEach((action) =>
      performFleetAction(this.actionHandlers, action),
    );
    return actions;
  }

  private queryPeer(address: string, query: PeerQuery): void {
    this.environment.queryPeer(address, query, (reply) => {
      this.handle({kind: 'peer-replied', address, reply});
      this.keys.answered(reply !== undefined);
    });
  }

  private configurationChanged({
    configuration,
    source,
  }: ConfigurationChange): void {
    const previous = this.currentRouting;
    this.currentRouting = new FleetRouting(
      configuration,
      this.fleet.directory,
      this.environment.random,
      previous,
    );
    if (previous !== undefined) {
      const {customers} = this.currentRouting;
      this.limits.limitsChanged(customers.changedLimits(previous.customers));
    }
    this.log.event('configuration-in-force', {
      version: configuration.version,
      before: previous?.configuration.version ?? 0,
      source,
      routes: configuration.routes.length,
      storeAnswerGap: Math.round(this.fleet.readerRole.lastAnswerGap),
      isReaderHeard: this.fleet.readerRole.readers.hasActiveReader(
        this.environment.clock(),
      ),
    });
    this.listeners?.onVersion(configuration.version);
  }
}
