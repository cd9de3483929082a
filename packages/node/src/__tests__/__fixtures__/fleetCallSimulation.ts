// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Simulates the calls of a service on a virtual clock: entries and guards with
 * the settings of a declared fleet, and upstreams that may state limits, reset
 * connections or join later.
 */

import {EntryStateMachine, GuardStateMachine} from '@lockpin/brain';
import type {
  Attempt,
  EntryAction,
  EntryCall,
  EntryEvent,
  GuardAction,
  GuardEvent,
} from '@lockpin/brain';
import type {ServiceView} from '@lockpin/configuration';
import {NO_RETRIES} from '@lockpin/routing';
import type {CapacityRow, LoadHint} from '@lockpin/routing';
import type {RandomSource, UpstreamNotice} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import {VirtualClock} from '../../../../tools/src/measure/virtualClock.js';
import type {RelayedNotice} from '../../../../tools/src/soak/checkNotices.js';
import {fleetEntrySettings} from '../../process/fleetEntrySettings.js';
import {fleetGuardSettings} from '../../process/fleetGuardSettings.js';
import {
  attemptPriority,
  startWithin,
  usefulFor,
} from '../../request/attemptPriority.js';
import {usableAfter} from '../../request/capacityRows.js';
import type {CallerRequest} from '../../request/callerRequest.js';
import {guardTerms} from '../../request/guardTerms.js';
import {NO_NOTICE} from '../../request/upstreamNotice.js';
import {createRoute, createServiceView, SERVICE} from './simulatedService.js';
import type {
  SimulatedArrival,
  SimulatedResult,
  SimulationOptions,
} from './simulatedService.js';

const HOP_MILLISECONDS = 2;
const TICK_MILLISECONDS = 50;

/** Too short for another event to be due in between. */
const AFTER_END_MILLISECONDS = 1e-9;

/** Interval at which calls in flight break when their connections are reset. */
const RESET_INTERVAL_MILLISECONDS = 1;

/** Factor by which a cold upstream is slower. */
const COLD_FACTOR = 2;

interface OpenCall {
  readonly call: EntryCall;
  readonly box: number;
  /** Number of starts of the box's process. */
  readonly life: number;
  readonly sentAt: number;
  attempt: OpenAttempt | undefined;
  offers: number;
  lastStatus: number;
}

interface OpenAttempt {
  readonly id: string;
  readonly callId: string;
  readonly upstream: number;
  isAcknowledged: boolean;
}

/** One box with its node and its upstream. */
export interface SimulatedBox {
  entry: EntryStateMachine;
  guard: GuardStateMachine;
  life: number;
  /** What the upstream states in its answers. */
  notice: UpstreamNotice;
  /** The node handles nothing before this time. */
  frozenUntil: number;
  /** Messages between this box and others are lost until then. */
  cutOffUntil: number;
  /** The upstream resets this share of its calls. */
  resetShare: number;
  /** The upstream rejects this share of its calls, which then have not run. */
  rejectShare: number;
  /** The upstream takes twice as long before this time. */
  coldUntil: number;
  /** Whether callers use the node. */
  hasCallers: boolean;
}

/** Runs the calls of one service. */
export class FleetCallSimulation {
  readonly boxes: readonly SimulatedBox[];
  readonly arrivals: SimulatedArrival[] = [];
  readonly results: SimulatedResult[] = [];
  /** Notices that boxes passed on to their callers. */
  readonly relayed: RelayedNotice[] = [];
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly allUpstreams: ServiceView['upstreams'];
  private view: ServiceView;
  /** Boxes of the running attempts, by the attempt's id. */
  private readonly running = new Map<string, number>();
  private readonly calls = new Map<string, OpenCall>();
  private serial = 0;

  constructor(private readonly options: SimulationOptions) {
    this.random = seededRandom(options.seed);
    this.allUpstreams = createServiceView(options).upstreams;
    this.view = createServiceView(options);
    this.boxes = Array.from({length: options.boxes}, (_, box) => ({
      ...this.createNode(box),
      life: 0,
      notice: NO_NOTICE,
      frozenUntil: 0,
      cutOffUntil: 0,
      resetShare: 0,
      rejectShare: 0,
      coldUntil: 0,
      hasCallers: box < (options.boxesWithCallers ?? options.boxes),
    }));
    this.boxes.forEach((_, box) => this.tick(box));
    this.scheduleNextCall();
  }

  get now(): number {
    return this.clock.now;
  }

  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    // The clock drops the first event after the end, so there has to be one.
    this.clock.schedule(milliseconds, () => undefined);
    this.clock.schedule(milliseconds + AFTER_END_MILLISECONDS, () => undefined);
    this.clock.runUntil(end);
  }

  /** Performs an action at a time in milliseconds from now. */
  after(milliseconds: number, act: () => void): void {
    this.clock.schedule(milliseconds, act);
  }

  /** Ends the node of a box and starts a new process. */
  restart(box: number): void {
    const state = this.boxes[box] as SimulatedBox;
    Object.assign(state, this.createNode(box));
    state.life += 1;
    for (const [id, open] of this.calls) {
      if (open.box === box) {
        this.calls.delete(id);
      } else if (open.attempt?.upstream === box) {
        this.toEntry(id, {kind: 'attempt-lost', callId: id, wasSent: true});
      }
    }
  }

  /** Stops the node of a box for some time; its messages wait. */
  freeze(box: number, milliseconds: number): void {
    (this.boxes[box] as SimulatedBox).frozenUntil = this.now + milliseconds;
  }

  /** Resets the connections of a box's upstream; its calls break in turn. */
  resetConnections(box: number): void {
    const broken = [...this.running].filter(([, at]) => at === box);
    broken.forEach(([attemptId], i) =>
      this.after(i * RESET_INTERVAL_MILLISECONDS, () => this.reset(attemptId)),
    );
  }

  /** Makes a box's upstream reset a share of its calls from now on. */
  resetCalls(box: number, share: number): void {
    this.resetConnections(box);
    (this.boxes[box] as SimulatedBox).resetShare = share;
  }

  /** Removes the upstreams of some boxes from the service. */
  remove(boxes: readonly number[]): void {
    const names = new Set(boxes.map((box) => this.allUpstreams[box]?.name));
    const upstreams = this.view.upstreams.filter(({name}) => !names.has(name));
    this.view = {...this.view, upstreams};
  }

  /** Adds the upstreams of removed boxes, which have just started. */
  join(boxes: readonly number[], coldMilliseconds: number): void {
    const coldUntil = this.now + coldMilliseconds;
    const joining = boxes.flatMap((box) => {
      (this.boxes[box] as SimulatedBox).coldUntil = coldUntil;
      const upstream = this.allUpstreams[box];
      return upstream === undefined
        ? []
        : [{...upstream, spec: {...upstream.spec, coldUntil}}];
    });
    const upstreams = [...this.view.upstreams, ...joining];
    this.view = {...this.view, upstreams};
  }

  /** Cuts a box off from all others for some time. */
  cutOff(box: number, milliseconds: number): void {
    (this.boxes[box] as SimulatedBox).cutOffUntil = this.now + milliseconds;
  }

  private createNode(box: number): Pick<SimulatedBox, 'entry' | 'guard'> {
    const {createRetryBudget = () => NO_RETRIES, switchedOff = []} =
      this.options;
    const isOn = (name: string): boolean =>
      name !== 'overdue-replacement' && !switchedOff.includes(name);
    const quarantinedFor = (): number => 0;
    const {name, spec} = this.allUpstreams[box] as Resource<'Upstream'>;
    const entry = new EntryStateMachine(
      spec.box,
      spec.dataCentre,
      {isUsable: () => true, incarnation: () => undefined},
      fleetEntrySettings(isOn, {
        quarantinedFor,
        ownHint: (now, upstream) => guard.hintOf(now, upstream),
      }),
    );
    const guard = new GuardStateMachine(
      {box: spec.box, incarnation: 'a'},
      fleetGuardSettings(isOn, {
        createRetryBudget,
        heldUpCalls: () => 0,
        areRejectionsCommon: (now, service) =>
          entry.loads.capacity.areRejectionsCommon(service, now),
        quarantinedFor,
      }),
    );
    const upstreams = this.allUpstreams.filter((item) => item.name === name);
    guard.handle(this.clock.now, this.random, {
      kind: 'services-changed',
      services: [{name: SERVICE, sensitivity: 'fast', upstreams}],
    });
    return {entry, guard};
  }

  private tick(box: number): void {
    this.toGuard(box, {kind: 'tick'});
    this.clock.schedule(TICK_MILLISECONDS, () => this.tick(box));
  }

  private scheduleNextCall(): void {
    const mean = 1000 / this.options.callsPerSecond;
    this.clock.schedule(-Math.log(1 - this.random()) * mean, () => {
      this.startCall();
      this.scheduleNextCall();
    });
  }

  /** Starts a call at a random box that callers use, if there is any. */
  private startCall(): void {
    const used = this.boxes.flatMap(({hasCallers}, i) =>
      hasCallers ? [i] : [],
    );
    const box = used[Math.floor(this.random() * used.length)];
    if (box === undefined) {
      return;
    }
    this.serial += 1;
    const id = `call-${this.serial}`;
    const {repeatableShare, waitMilliseconds} = this.options;
    const isRepeatable = this.random() < repeatableShare;
    const call: EntryCall = {
      id,
      view: this.view,
      route: createRoute(
        isRepeatable ? 'repeatable' : 'at-most-once',
        this.options,
      ),
      customer: 'c',
      requestDigest: '',
      bytes: 0,
      deadline: this.now + waitMilliseconds,
      onceKey: undefined,
      isFirstWithKey: false,
      isReplayable: true,
      isCallersRetry: false,
    };
    const {life} = this.boxes[box] as SimulatedBox;
    this.calls.set(id, {
      call,
      box,
      life,
      sentAt: this.now,
      attempt: undefined,
      offers: 0,
      lastStatus: 0,
    });
    this.toEntry(id, {kind: 'call-arrived', call});
    this.clock.schedule(waitMilliseconds, () =>
      this.toEntry(id, {
        kind: 'call-aborted',
        callId: id,
        reason: 'deadline-passed',
        wasSent: false,
      }),
    );
  }

  private toEntry(callId: string, event: EntryEvent): void {
    const open = this.calls.get(callId);
    if (open === undefined) {
      return;
    }
    const {entry, frozenUntil} = this.boxes[open.box] as SimulatedBox;
    if (frozenUntil > this.now) {
      this.after(frozenUntil - this.now, () => this.toEntry(callId, event));
      return;
    }
    for (const action of entry.handle(this.now, this.random, event)) {
      this.performEntryAction(callId, open, action);
    }
  }

  private performEntryAction(
    callId: string,
    open: OpenCall,
    action: EntryAction,
  ): void {
    switch (action.kind) {
      case 'attempt':
        this.sendAttempt(open, action.attempt);
        break;
      case 'refuse': {
        const {reason, retryAfterMilliseconds} = action.refusal;
        this.end(callId, open, {status: 503, reason, retryAfterMilliseconds});
        break;
      }
      case 'pass-answer':
      case 'pass-fallback-answer':
        this.toEntry(callId, {kind: 'answer-ended', callId});
        this.end(callId, open, {
          status: open.lastStatus,
          reason: undefined,
          retryAfterMilliseconds: 0,
        });
        break;
      case 'pause':
        this.clock.schedule(action.milliseconds, () =>
          this.toEntry(callId, {kind: 'pause-ended', callId}),
        );
        break;
      default:
        break;
    }
  }

  private end(
    callId: string,
    {sentAt, offers}: OpenCall,
    result: Pick<
      SimulatedResult,
      'status' | 'reason' | 'retryAfterMilliseconds'
    >,
  ): void {
    this.calls.delete(callId);
    this.results.push({sentAt, endedAt: this.now, offers, ...result});
  }

  private sendAttempt(open: OpenCall, attempt: Attempt): void {
    open.offers += 1;
    const {call, box} = open;
    const upstream = this.allUpstreams.findIndex(
      ({name}) => name === attempt.upstream,
    );
    const id = `${call.id}.${open.offers}`;
    const current: OpenAttempt = {
      id,
      callId: call.id,
      upstream,
      isAcknowledged: false,
    };
    open.attempt = current;
    const isLocal = upstream === box;
    const {acknowledgementTimeoutMilliseconds: timeout} = attempt;
    this.clock.schedule(timeout, () => {
      if (!isLocal && open.attempt === current && !current.isAcknowledged) {
        const {id: callId} = call;
        this.toEntry(callId, {kind: 'attempt-unacknowledged', callId});
      }
    });
    this.hop(box, upstream, () =>
      this.toGuard(upstream, {
        kind: 'call-offered',
        call: this.guardCall(open, attempt, id, !isLocal),
      }),
    );
  }

  private guardCall(
    {call, sentAt}: OpenCall,
    attempt: Attempt,
    id: string,
    needsGo: boolean,
  ): (GuardEvent & {readonly kind: 'call-offered'})['call'] {
    const request = {route: call.route, priority: 1} as CallerRequest;
    const age = this.now - sentAt;
    const useful = usefulFor(request, age, attempt);
    const start = startWithin(this.now, attempt);
    return {
      id,
      service: SERVICE,
      upstream: attempt.upstream,
      customer: call.customer,
      weight: 1,
      route: call.route.name,
      repetition: call.route.spec.repetition,
      priority: attemptPriority(request, age, attempt),
      deadline: call.deadline,
      attempt: attempt.number,
      retryShare: 0,
      onceKey: undefined,
      requestDigest: '',
      usefulUntil: useful === undefined ? undefined : this.now + useful,
      startBy: start === undefined ? undefined : this.now + start,
      needsGo,
      ...guardTerms(attempt.terms),
      expectedMilliseconds: attempt.expectedMilliseconds,
      knownNotice: attempt.knownNotice,
    };
  }

  /** Passes an event to the guard of a box and performs its actions. */
  toGuard(box: number, event: GuardEvent): void {
    const {guard, frozenUntil} = this.boxes[box] as SimulatedBox;
    if (frozenUntil > this.now) {
      this.after(frozenUntil - this.now, () => this.toGuard(box, event));
      return;
    }
    for (const action of guard.handle(this.now, this.random, event)) {
      this.performGuardAction(box, action);
    }
  }

  private performGuardAction(box: number, action: GuardAction): void {
    switch (action.kind) {
      case 'run':
        this.runOnUpstream(box, action.callId);
        break;
      case 'reserve':
        this.reply(box, action.callId, (open, attempt) => {
          attempt.isAcknowledged = true;
          this.hop(open.box, box, () =>
            this.toGuard(box, {
              kind: 'call-go',
              callId: attempt.id,
              requestDigest: '',
            }),
          );
        });
        break;
      case 'queue':
        this.reply(box, action.callId, (_open, attempt) => {
          attempt.isAcknowledged = true;
        });
        break;
      case 'refuse': {
        const {refusal, upstream, hint} = action;
        const others = this.rowsFrom(
          box,
          action.callId,
          usableAfter(refusal.reason),
        );
        this.reply(box, action.callId, ({call: {id: callId}}, attempt) => {
          attempt.isAcknowledged = true;
          this.toEntry(callId, {
            kind: 'attempt-refused',
            callId,
            refusal,
            upstream,
            hint,
            others,
          });
        });
        break;
      }
      case 'standing':
        this.broadcast(box, action.upstream, action.hint);
        break;
      default:
        break;
    }
  }

  private broadcast(from: number, upstream: string, hint: LoadHint): void {
    this.boxes.forEach((_, box) =>
      this.hop(from, box, () => {
        const {entry} = this.boxes[box] as SimulatedBox;
        entry.loads.hintReceived(upstream, this.now, hint);
      }),
    );
  }

  private runOnUpstream(box: number, attemptId: string): void {
    const open = this.openCall(attemptId);
    const {guard} = this.boxes[box] as SimulatedBox;
    if (open === undefined) {
      return;
    }
    const {box: origin, sentAt, call} = open;
    this.arrivals.push({
      callId: call.id,
      box: origin,
      upstream: box,
      sentAt,
      at: this.now,
    });
    const {resetShare, rejectShare, coldUntil} = this.boxes[
      box
    ] as SimulatedBox;
    if (rejectShare > 0 && this.random() < rejectShare) {
      this.toGuard(box, {
        kind: 'upstream-refused',
        callId: attemptId,
        reason: 'upstream-refused',
      });
      return;
    }
    this.running.set(attemptId, box);
    if (resetShare > 0 && this.random() < resetShare) {
      this.after(RESET_INTERVAL_MILLISECONDS, () => this.reset(attemptId));
      return;
    }
    const factor = this.now < coldUntil ? COLD_FACTOR : 1;
    const spread = (0.5 + this.random()) * factor;
    this.clock.schedule(this.options.workMilliseconds * spread, () => {
      const current = this.boxes[box] as SimulatedBox;
      if (this.running.delete(attemptId) && current.guard === guard) {
        this.answer(box, attemptId, current.notice);
      }
    });
  }

  private reset(attemptId: string): void {
    const box = this.running.get(attemptId);
    if (box !== undefined && this.running.delete(attemptId)) {
      this.toGuard(box, {
        kind: 'upstream-failed',
        callId: attemptId,
        wasSent: true,
      });
    }
  }

  private answer(box: number, attemptId: string, notice: UpstreamNotice): void {
    this.toGuard(box, {kind: 'upstream-stated', callId: attemptId, notice});
    this.toGuard(box, {
      kind: 'upstream-answered',
      callId: attemptId,
      status: 200,
      isShed: false,
      answer: undefined,
    });
    const name = this.allUpstreams[box]?.name ?? '';
    const hint = this.boxes[box]?.guard.hintOf(this.now, name);
    const others = this.rowsFrom(box, attemptId);
    this.reply(box, attemptId, (open) => {
      const {id: callId} = open.call;
      open.lastStatus = 200;
      this.recordRelayed(open.box, box, notice);
      this.toEntry(callId, {
        kind: 'attempt-answered',
        callId,
        status: 200,
        isWhole: true,
        hint,
        others,
        ranMilliseconds: this.options.workMilliseconds,
      });
    });
  }

  /** What a box tells another with its reply about other upstreams. */
  private rowsFrom(
    box: number,
    attemptId: string,
    isUsable?: ReturnType<typeof usableAfter>,
  ): readonly CapacityRow[] | undefined {
    if (this.openCall(attemptId)?.box === box) {
      return undefined;
    }
    const {entry} = this.boxes[box] as SimulatedBox;
    const name = this.allUpstreams[box]?.name ?? '';
    return entry.loads.capacity.rowsFor(SERVICE, name, this.now, isUsable);
  }

  private recordRelayed(
    box: number,
    upstream: number,
    {requestsPerSecond, isLeaving}: UpstreamNotice,
  ): void {
    const notice = {
      lifetime: String(upstream),
      box: String(box),
      at: this.now,
    };
    if (requestsPerSecond !== undefined) {
      this.relayed.push({...notice, kind: 'limit'});
    }
    if (isLeaving) {
      this.relayed.push({...notice, kind: 'leaving'});
    }
  }

  /** Sends a reply to the entry; lost if the attempt is no longer current. */
  private reply(
    from: number,
    attemptId: string,
    act: (open: OpenCall, attempt: OpenAttempt) => void,
  ): void {
    const open = this.openCall(attemptId);
    const attempt = open?.attempt;
    if (open === undefined || attempt?.id !== attemptId) {
      return;
    }
    this.hop(from, open.box, () => {
      if (open.attempt === attempt && this.calls.has(open.call.id)) {
        act(open, attempt);
      }
    });
  }

  private openCall(attemptId: string): OpenCall | undefined {
    return this.calls.get(attemptId.slice(0, attemptId.lastIndexOf('.')));
  }

  private isCutOff(box: number): boolean {
    return (this.boxes[box]?.cutOffUntil ?? 0) > this.now;
  }

  private hop(from: number, to: number, act: () => void): void {
    if (from === to) {
      this.clock.schedule(0, act);
    } else if (!this.isCutOff(from) && !this.isCutOff(to)) {
      this.clock.schedule(HOP_MILLISECONDS, act);
    }
  }
}
