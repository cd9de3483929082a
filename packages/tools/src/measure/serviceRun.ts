// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Runs the state machines of a service under a fault on a virtual clock. */

import {EntryStateMachine} from '@lockpin/brain';
import type {
  Attempt,
  EntryAction,
  EntryCall,
  EntryEvent,
  GuardAction,
  GuardStateMachine,
  GuardEvent,
} from '@lockpin/brain';
import type {ServiceView} from '@lockpin/configuration';
import {DETECTION_SETTINGS} from '@lockpin/detection';
import {FIRST_FENCE, PermitHolder} from '@lockpin/floor';
import {seededRandom} from '@lockpin/utils';
import type {RandomSource} from '@lockpin/types';
import {AnswerTally} from './answerTally.js';
import {
  EjectionTally,
  FAULT_START_MILLISECONDS,
  isSharedFault,
  FAULTY_INDEX,
} from './ejectionTally.js';
import {
  createMeasuredView,
  SERVICE_NAME,
  startMeasuredGuard,
} from './measuredService.js';
import type {Fault} from './scenarios.js';
import {TRAFFIC} from './scenarios.js';
import type {RunOptions, RunResult} from './serviceRunOptions.js';
import {UpstreamModel} from './upstreamModel.js';
import {VirtualClock} from './virtualClock.js';

const GUARD_TICK_MILLISECONDS = 20;

/** Runs one simulation to its end. */
export function runService(options: RunOptions): RunResult {
  return new ServiceRun(options).run();
}

class ServiceRun {
  private readonly clock = new VirtualClock();
  private readonly random: RandomSource;
  private readonly view: ServiceView;
  private readonly entries: readonly EntryStateMachine[];
  private readonly guards: readonly GuardStateMachine[];
  private readonly upstreamModels: readonly UpstreamModel[];
  private readonly holder: PermitHolder;
  private readonly entryOfCall = new Map<string, number>();
  private readonly runningAttempts = new Map<string, Attempt>();
  private calls = 0;
  private runs = 0;
  private failures = 0;
  private readonly answers = new AnswerTally();
  private readonly ejections: EjectionTally;

  constructor(private readonly options: RunOptions) {
    const {service, seed} = options;
    this.random = seededRandom(seed);
    this.view = createMeasuredView(service);
    this.ejections = new EjectionTally(
      service,
      options.fault,
      this.view.upstreams.map(({name}) => name),
    );
    this.entries = Array.from(
      {length: service.entries},
      (_, i) =>
        new EntryStateMachine(`entry-${i}`, `dc-${i % service.dataCentres}`, {
          isUsable: () => true,
          incarnation: () => 'a',
        }),
    );
    this.upstreamModels = this.view.upstreams.map(
      () => new UpstreamModel(this.random),
    );
    this.guards = this.view.upstreams.map((upstream, i) =>
      startMeasuredGuard(service, upstream, i),
    );
    this.holder = new PermitHolder(FIRST_FENCE, {
      floorSlots: options.baseline
        ? Number.POSITIVE_INFINITY
        : service.floorSlots,
      settleMilliseconds:
        DETECTION_SETTINGS[service.sensitivity].settleMilliseconds,
      upstreams: this.view.upstreams.map(({name, spec}) => ({
        name,
        slots: spec.slots,
        inService: true,
      })),
    });
  }

  run(): RunResult {
    const end = this.options.seconds * 1000;
    this.guards.forEach((_, i) => this.tick(i));
    this.scheduleNextCall();
    this.clock.runUntil(end);
    return {
      detection: this.ejections.detection,
      falseEjections: this.ejections.falseEjections,
      floorBroken: this.ejections.floorBroken,
      calls: this.calls,
      refusedOrFailed: this.failures,
      amplification: this.runs / Math.max(1, this.calls),
      successDurations: this.answers.successDurations,
      events: this.ejections.events,
    };
  }

  private tick(i: number): void {
    this.dispatchToGuard(i, {kind: 'tick'});
    this.clock.schedule(GUARD_TICK_MILLISECONDS, () => this.tick(i));
  }

  private scheduleNextCall(): void {
    const {callsPerUpstream, upstreams} = this.options.service;
    const rate = (callsPerUpstream * upstreams) / 1000;
    this.clock.schedule(-Math.log(1 - this.random()) / rate, () => {
      this.startCall();
      this.scheduleNextCall();
    });
  }

  private startCall(): void {
    this.calls += 1;
    const id = String(this.calls);
    const entry = Math.floor(this.random() * this.entries.length);
    this.entryOfCall.set(id, entry);
    const customer = this.pickCustomer();
    this.answers.callStarted(this.clock.now, id, customer);
    const route = this.view.routes[0] as EntryCall['route'];
    this.dispatchToEntry(id, {
      kind: 'call-arrived',
      call: {
        id,
        view: this.view,
        route,
        customer,
        requestDigest: '',
        bytes: 0,
        deadline: this.clock.now + TRAFFIC.waitMilliseconds,
        onceKey: undefined,
        isFirstWithKey: false,
        isReplayable: true,
        isCallersRetry: false,
      },
    });
    this.clock.schedule(TRAFFIC.waitMilliseconds, () =>
      this.dispatchToEntry(id, {
        kind: 'call-aborted',
        callId: id,
        reason: 'deadline-passed',
        wasSent: true,
      }),
    );
  }

  private dispatchToEntry(callId: string, event: EntryEvent): void {
    const entry = this.entries[this.entryOfCall.get(callId) ?? -1];
    const actions = entry?.handle(this.clock.now, this.random, event) ?? [];
    actions.forEach((action) => this.performEntryAction(callId, action));
  }

  private performEntryAction(callId: string, action: EntryAction): void {
    switch (action.kind) {
      case 'attempt':
        this.sendAttempt(action.attempt);
        break;
      case 'refuse':
        this.failures += 1;
        this.entryOfCall.delete(callId);
        this.answers.callRefused(callId);
        break;
      case 'pass-fallback-answer':
        this.failures += 1;
        this.entryOfCall.delete(callId);
        this.answers.callRefused(callId);
        this.dispatchToEntry(callId, {kind: 'answer-ended', callId});
        break;
      case 'pass-answer':
        this.answers.answerForwarded(this.clock.now, callId);
        this.dispatchToEntry(callId, {kind: 'answer-ended', callId});
        this.entryOfCall.delete(callId);
        break;
      case 'cancel-attempt':
        break;
    }
  }

  private pickCustomer(): string {
    const {customers} = this.options;
    if (customers === undefined) {
      return this.view.customer;
    }
    let left = this.random();
    const found = customers.find(({share}) => (left -= share) <= 0);
    return (found ?? customers[0])?.name ?? this.view.customer;
  }

  private sendAttempt(attempt: Attempt): void {
    const i = this.indexOf(attempt.upstream);
    const id = `${attempt.callId}.${this.clock.scheduledCount}`;
    this.runningAttempts.set(id, attempt);
    const {call} = attempt;
    const delay = this.hopMilliseconds(attempt.callId, i);
    const remaining = call.deadline - this.clock.now - 5;
    this.clock.schedule(delay, () => {
      this.clock.schedule(remaining, () =>
        this.dispatchToGuard(i, {kind: 'call-deadline-passed', callId: id}),
      );
      this.dispatchToGuard(i, {
        kind: 'call-offered',
        call: {
          id,
          service: SERVICE_NAME,
          upstream: attempt.upstream,
          customer: call.customer,
          weight: 1,
          route: call.route.name,
          repetition: 'repeatable',
          priority: call.route.spec.priority,
          deadline: this.clock.now + remaining,
          attempt: attempt.number,
          retryShare: call.route.spec.retryShare,
          onceKey: undefined,
          requestDigest: '',
        },
      });
    });
  }

  private dispatchToGuard(i: number, event: GuardEvent): void {
    const guard = this.guards[i] as GuardStateMachine;
    const actions = guard.handle(this.clock.now, this.random, event);
    actions.forEach((action) => this.performGuardAction(i, action));
  }

  private performGuardAction(i: number, action: GuardAction): void {
    switch (action.kind) {
      case 'run':
        this.runOnUpstream(i, action.callId);
        break;
      case 'refuse':
        this.handleRefusal(i, action);
        break;
      case 'abort':
        this.observeBaseline(i, true);
        break;
      case 'report':
        for (const report of action.reports) {
          this.clock.schedule(TRAFFIC.farMilliseconds, () => {
            const reply = this.holder.report(this.clock.now, report);
            this.clock.schedule(TRAFFIC.farMilliseconds, () =>
              this.dispatchToGuard(i, {
                kind: 'holder-replied',
                service: SERVICE_NAME,
                reply,
              }),
            );
          });
        }
        break;
      case 'timeline':
        this.ejections.observe(this.clock.now, i, action);
        break;
      case 'answer-stored':
      case 'standing':
      case 'reserve':
      case 'queue':
        break;
    }
  }

  private runOnUpstream(i: number, id: string): void {
    this.runs += 1;
    const fault = this.currentFault();
    const isFaulty = i === FAULTY_INDEX || isSharedFault(fault);
    const model = this.upstreamModels[i] as UpstreamModel;
    const answer = model.answer(
      this.clock.now,
      isFaulty ? fault : {kind: 'none'},
      FAULT_START_MILLISECONDS,
    );
    const {status} = answer;
    if (status === undefined) {
      return;
    }
    this.clock.schedule(answer.milliseconds, () => {
      const attempt = this.runningAttempts.get(id);
      if (attempt === undefined) {
        return;
      }
      this.runningAttempts.delete(id);
      this.dispatchToGuard(i, {
        kind: 'upstream-answered',
        callId: id,
        status,
        isShed: false,
        answer: undefined,
      });
      this.observeBaseline(i, status >= 500);
      const hint = this.guards[i]?.hintOf(
        this.clock.now,
        attempt.upstream ?? '',
      );
      const {callId} = attempt;
      this.clock.schedule(this.hopMilliseconds(callId, i), () => {
        this.answers.answerReceived(callId, status);
        this.dispatchToEntry(callId, {
          kind: 'attempt-answered',
          callId,
          status,
          isWhole: true,
          hint,
          ranMilliseconds: undefined,
        });
      });
    });
  }

  private currentFault(): Fault {
    const {fault, faultSeconds = Number.POSITIVE_INFINITY} = this.options;
    const hasEnded =
      this.clock.now > FAULT_START_MILLISECONDS + faultSeconds * 1000;
    return hasEnded ? {kind: 'none'} : fault;
  }

  private handleRefusal(
    i: number,
    action: GuardAction & {readonly kind: 'refuse'},
  ): void {
    const attempt = this.runningAttempts.get(action.callId);
    if (attempt === undefined) {
      return;
    }
    this.runningAttempts.delete(action.callId);
    const {callId} = attempt;
    const {refusal, upstream, hint} = action;
    this.clock.schedule(this.hopMilliseconds(callId, i), () =>
      this.dispatchToEntry(callId, {
        kind: 'attempt-refused',
        callId,
        refusal,
        upstream,
        hint,
      }),
    );
  }

  private observeBaseline(i: number, failed: boolean): void {
    if (this.options.baseline?.observe(this.clock.now, i, failed)) {
      this.ejections.recordEjection(this.clock.now, i);
    }
  }

  private hopMilliseconds(callId: string, upstream: number): number {
    const {dataCentres} = this.options.service;
    const entry = this.entryOfCall.get(callId) ?? 0;
    return entry % dataCentres === upstream % dataCentres
      ? TRAFFIC.nearMilliseconds
      : TRAFFIC.farMilliseconds;
  }

  private indexOf(upstream: string | undefined): number {
    return this.view.upstreams.findIndex(({name}) => name === upstream);
  }
}
