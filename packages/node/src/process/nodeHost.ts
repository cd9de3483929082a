// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Drives the state machines of a node and performs their actions. */

import {
  ControlStateMachine,
  EntryStateMachine,
  GuardStateMachine,
} from '@lockpin/brain';
import type {
  ChangeSettlement,
  ControlAction,
  ControlEvent,
  ControlSettings,
  GuardedService,
  PeerReply,
  PeerRequest,
  PlannedStop,
  StreamName,
} from '@lockpin/brain';
import {isUsable} from '@lockpin/membership';
import type {Datagram, MemberIdentity} from '@lockpin/membership';
import type {ChangeRecord, TimelineEvent} from '@lockpin/types';
import type {GuardNodeAction} from '../request/guardService.js';
import {BoxListPoller} from './boxListPoller.js';
import type {NodeEnvironment, NodeHostListeners} from './nodeEnvironment.js';

/**
 * Interval between ticks; the guard itself ticks more often while calls are in
 * flight.
 */
const TICK_MILLISECONDS = 200;

/** Runs the state machines of one node and performs their actions. */
export class NodeHost {
  readonly control: ControlStateMachine;
  readonly guard: GuardStateMachine;
  readonly entry: EntryStateMachine;
  private readonly pendingChanges = new Map<
    string,
    (settlement: ChangeSettlement) => void
  >();
  private readonly pendingReplies = new Map<
    string,
    (reply: PeerReply) => void
  >();
  private listeners: NodeHostListeners | undefined;
  private stopFunctions: (() => void)[] = [];
  private readonly boxList: BoxListPoller;
  private lastReplyToken = 0;
  private hasLeft = false;

  constructor(
    identity: MemberIdentity,
    settings: ControlSettings,
    private readonly environment: NodeEnvironment,
  ) {
    const {box, dataCentre, incarnation} = identity;
    this.boxList = new BoxListPoller(environment, (boxes) =>
      this.handle({kind: 'boxes-listed', boxes}),
    );
    this.control = new ControlStateMachine(identity, settings);
    this.guard = new GuardStateMachine({box, incarnation});
    this.entry = new EntryStateMachine(box, dataCentre, {
      isUsable: (name) => this.isBoxUsable(name),
      incarnation: (name) => this.incarnationOf(name),
    });
  }

  get isReady(): boolean {
    return this.control.isReady;
  }

  get isLeaving(): boolean {
    return this.hasLeft;
  }

  /** Starts the ticks. */
  start(listeners: NodeHostListeners): void {
    this.listeners = listeners;
    const {every} = this.environment;
    this.stopFunctions = [
      every(TICK_MILLISECONDS, () => {
        this.controlTick();
        listeners.onGuardEvent({kind: 'tick'});
      }),
    ];
    this.controlTick();
  }

  /** Stops the ticks. */
  stop(): void {
    this.stopFunctions.forEach((stop) => stop());
  }

  /** Announces that this node leaves, and makes it refuse new calls. */
  leave(stop: PlannedStop): void {
    this.hasLeft = true;
    this.listeners?.onGuardEvent({kind: 'leaving', stop});
    this.handle({kind: 'leaving'});
    this.timeline('node-leaving', this.box, {});
  }

  datagramReceived(datagram: Datagram): void {
    this.handle({kind: 'datagram-received', datagram});
  }

  /** Answers a control message of a peer. */
  exchangeReceived(
    request: PeerRequest,
    reply: (reply: PeerReply) => void,
  ): void {
    this.lastReplyToken += 1;
    const token = String(this.lastReplyToken);
    this.pendingReplies.set(token, reply);
    this.handle({kind: 'exchange-received', token, request});
  }

  /**
   * Publishes a change; resolves when it was read back from the log or failed.
   */
  publish(change: ChangeRecord): Promise<ChangeSettlement> {
    return new Promise((resolve) => {
      this.pendingChanges.set(change.changeId, resolve);
      this.handle({kind: 'change-submitted', change});
    });
  }

  setWatcherCount(count: number): void {
    this.handle({kind: 'watchers-counted', count});
  }

  /** Handles the guard's actions that do not belong to a single exchange. */
  handleGuardAction(action: GuardNodeAction): void {
    if (action.kind === 'standing' || action.kind === 'upstream-leaving') {
      return;
    }
    if (action.kind === 'upstream-crashed') {
      const {upstream, digests} = action;
      this.timeline(action.kind, upstream, {requests: digests.join(' ')});
      return;
    }
    if (action.kind === 'timeline') {
      this.timeline(action.event, action.subject, action.detail);
      return;
    }
    const {service, reports} = action;
    this.handle({kind: 'guard-reported', service, reports});
  }

  /** Adds an event to the timeline. */
  timeline(
    kind: string,
    subject: string,
    detail: TimelineEvent['detail'],
  ): void {
    const time = this.control.clock.tick(this.environment.clock());
    this.listeners?.onTimeline({time, box: this.box, kind, subject, detail});
  }

  private get box(): string {
    return this.control.membership.own.box;
  }

  private controlTick(): void {
    this.handle({kind: 'tick'});
    this.boxList.tick();
  }

  private handle(event: ControlEvent): void {
    const {clock, random} = this.environment;
    for (const action of this.control.handle(clock(), random, event)) {
      this.perform(action);
    }
  }

  private perform(action: ControlAction): void {
    const {environment} = this;
    switch (action.kind) {
      case 'send':
        environment.sendDatagram(action.address, action.datagram);
        break;
      case 'read-log':
        void this.readLog(action.stream, action.from, action.waitMilliseconds);
        break;
      case 'append':
        void this.append(action.token, action.stream, action.value);
        break;
      case 'exchange':
        environment.exchange(action.address, action.request, (reply) =>
          this.handle({kind: 'exchange-ended', token: action.token, reply}),
        );
        break;
      case 'reply':
        this.pendingReplies.get(action.token)?.(action.reply);
        this.pendingReplies.delete(action.token);
        break;
      case 'change-settled':
        this.pendingChanges.get(action.changeId)?.(action.settlement);
        this.pendingChanges.delete(action.changeId);
        break;
      default:
        this.notifyListeners(action);
    }
  }

  private notifyListeners(action: ControlAction): void {
    const {listeners} = this;
    switch (action.kind) {
      case 'folded':
        this.configurationChanged();
        listeners?.onFolded(action.folds);
        break;
      case 'state-replaced':
        this.configurationChanged();
        listeners?.onStateReplaced();
        break;
      case 'holder-replied':
      case 'fence-learnt':
      case 'holders-read':
        listeners?.onGuardEvent(action);
        break;
      case 'in-force':
        listeners?.onInForce(action.box, action.version);
        break;
      case 'timeline':
        this.timeline(action.event, action.subject, action.detail);
        break;
    }
  }

  private configurationChanged(): void {
    const services = this.guardedServices();
    this.listeners?.onUpstreams(services.flatMap(({upstreams}) => upstreams));
    this.listeners?.onGuardEvent({kind: 'services-changed', services});
    for (const {name} of services) {
      const fence = this.control.holders.fenceOf(name);
      this.listeners?.onGuardEvent({
        kind: 'fence-learnt',
        service: name,
        fence,
      });
    }
  }

  private guardedServices(): readonly GuardedService[] {
    const {state} = this.control.replica;
    return [...state.servicesOfBox(this.box)].flatMap((name) => {
      const view = state.service(name);
      if (view === undefined) {
        return [];
      }
      const upstreams = view.upstreams.filter(
        ({spec}) => spec.box === this.box,
      );
      const {sensitivity} = view.service.spec;
      return [{name, sensitivity, upstreams}];
    });
  }

  private async readLog(
    stream: StreamName,
    from: number,
    waitMilliseconds: number,
  ): Promise<void> {
    const result = await this.environment.readLog(
      stream,
      from,
      waitMilliseconds,
    );
    this.handle({kind: 'log-read', stream, result});
  }

  private async append(
    token: string,
    stream: StreamName,
    value: unknown,
  ): Promise<void> {
    const result = await this.environment.appendToLog(stream, value);
    this.handle({kind: 'append-ended', token, result});
  }

  private isBoxUsable(box: string): boolean {
    const member = this.control.membership.get(box);
    return member !== undefined && isUsable(member);
  }

  private incarnationOf(box: string): string | undefined {
    return this.control.membership.get(box)?.incarnation;
  }
}
