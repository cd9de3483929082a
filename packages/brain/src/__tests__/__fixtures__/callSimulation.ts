// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Simulates one caller's requests on two entries, two guards and upstreams. */

import {
  ConfigurationState,
  foldChange,
  createWrite,
} from '@lockpin/configuration';
import type {ServiceView} from '@lockpin/configuration';
import {mintOnceKey, parseOnceKey} from '@lockpin/once';
import {seededRandom} from '@lockpin/utils';
import type {Refusal, RefusalOutcome, UpstreamNotice} from '@lockpin/types';
import {EntryStateMachine} from '../../entry/entryStateMachine.js';
import type {
  Attempt,
  EntryAction,
  EntryCall,
  EntryEvent,
} from '../../entry/entryMessages.js';
import {GuardStateMachine} from '../../guard/guardStateMachine.js';
import type {GuardAction, GuardEvent} from '../../guard/guardMessages.js';

/** Faults that can be injected before any step. */
export const CALL_FAULTS = [
  'upstream answers errors',
  'upstream hangs',
  'upstream refuses connections',
  'upstream slows down tenfold',
  'link to the guard is cut',
  'link from the guard is cut',
  'guard is replaced',
  'guard is paused',
  'box of the guard is suspended',
  'box of the entry is suspended',
  'clock of the guard is set back',
  'clock of the guard is set forwards',
  'entry is replaced',
  'upstream is drained',
  'upstream states a limit',
  'upstream states that it is leaving',
  'node leaves',
  'caller leaves',
  'caller repeats at once',
] as const;

/** One of the faults. */
export type CallFault = (typeof CALL_FAULTS)[number];

/** A fault and the step before which it is injected. */
export interface TimedFault {
  readonly fault: CallFault;
  readonly step: number;
}

/** The result that the caller received for one request. */
export interface RequestResult {
  readonly request: string;
  readonly outcome: 'answered' | RefusalOutcome | 'cut';
  /** The execution that produced the answer. */
  readonly executionId?: string;
}

interface ScheduledEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

const SERVICE = 'c/s';
const WAIT_MILLISECONDS = 400;
const LINK_DELAY_MILLISECONDS = 1;
const EXECUTION_MILLISECONDS = 10;
const PAUSE_MILLISECONDS = 150;

/** Longer than the timeout of any call. */
const SUSPENSION_MILLISECONDS = 60_000;

/** Amount by which a clock is stepped. */
const CLOCK_STEP_MILLISECONDS = 3_600_000;
const REPEAT_DELAY_MILLISECONDS = 20;
const MAXIMUM_REQUESTS = 3;

/** Runs the calls of one caller and injects faults before given steps. */
export class CallSimulation {
  readonly results: RequestResult[] = [];
  /** Attempts in the order in which upstreams ran them. */
  readonly executions: string[] = [];
  steps = 0;
  private now = 1_000_000;
  private order = 0;
  private queue: ScheduledEvent[] = [];
  private readonly random = seededRandom(2);
  private readonly view: ServiceView = createView();
  private readonly entries = new Map<string, EntryStateMachine>();
  private readonly guards = new Map<string, GuardStateMachine>();
  private readonly incarnations = new Map<string, number>();
  private readonly attempts = new Map<string, Attempt>();
  private readonly aborted = new Set<string>();
  private readonly closed = new Set<string>();
  private readonly onceKey: string | undefined;
  private requestCount = 0;
  private attemptCount = 0;
  private upstreamMode: 'well' | 'errors' | 'hangs' | 'refuses' | 'slow' =
    'well';
  private notice: UpstreamNotice = {
    requestsPerSecond: undefined,
    isLeaving: false,
    unreadableLimit: undefined,
  };
  private isLinkToGuardCut = false;
  private isLinkFromGuardCut = false;
  private guardPausedUntil = 0;
  private entrySuspendedUntil = 0;
  /** Milliseconds by which the clock of the first guard is ahead. */
  private guardClockOffset = 0;

  constructor(
    isOnce: boolean,
    private readonly faults: readonly TimedFault[],
  ) {
    for (const box of ['g1', 'g2']) {
      this.startGuard(box);
    }
    for (const box of ['e1', 'e2']) {
      this.startEntry(box);
    }
    this.onceKey = isOnce
      ? mintOnceKey(this.now, this.random, {box: 'g1', incarnation: '1'})
      : undefined;
  }

  /** Runs until no event is scheduled. */
  run(): void {
    this.sendRequest('e1', true);
    for (let next = this.nextEvent(); next; next = this.nextEvent()) {
      this.now = Math.max(this.now, next.at);
      for (const {fault, step} of this.faults) {
        if (step === this.steps) {
          this.injectFault(fault);
        }
      }
      this.steps += 1;
      next.run();
    }
  }

  private nextEvent(): ScheduledEvent | undefined {
    this.queue.sort((a, b) => a.at - b.at || a.order - b.order);
    return this.queue.shift();
  }

  private schedule(delay: number, run: () => void): void {
    this.order += 1;
    this.queue.push({at: this.now + delay, order: this.order, run});
  }

  private injectFault(fault: CallFault): void {
    switch (fault) {
      case 'upstream answers errors':
        this.upstreamMode = 'errors';
        break;
      case 'upstream hangs':
        this.upstreamMode = 'hangs';
        break;
      case 'upstream refuses connections':
        this.upstreamMode = 'refuses';
        break;
      case 'upstream slows down tenfold':
        this.upstreamMode = 'slow';
        break;
      case 'link to the guard is cut':
        this.isLinkToGuardCut = true;
        break;
      case 'link from the guard is cut':
        this.isLinkFromGuardCut = true;
        break;
      case 'guard is replaced':
        this.replaceGuard('g1');
        break;
      case 'guard is paused':
        this.guardPausedUntil = this.now + PAUSE_MILLISECONDS;
        break;
      case 'box of the guard is suspended':
        this.guardPausedUntil = this.now + SUSPENSION_MILLISECONDS;
        break;
      case 'box of the entry is suspended':
        this.entrySuspendedUntil = this.now + SUSPENSION_MILLISECONDS;
        break;
      case 'clock of the guard is set back':
        this.guardClockOffset = -CLOCK_STEP_MILLISECONDS;
        break;
      case 'clock of the guard is set forwards':
        this.guardClockOffset = CLOCK_STEP_MILLISECONDS;
        break;
      case 'entry is replaced':
        this.replaceEntry('e1');
        break;
      case 'upstream is drained':
        this.handleGuardEvent('g1', createServicesEvent('g1', 'draining'));
        break;
      case 'upstream states a limit':
        this.notice = {...this.notice, requestsPerSecond: 0};
        break;
      case 'upstream states that it is leaving':
        this.notice = {...this.notice, isLeaving: true};
        break;
      case 'node leaves':
        this.handleGuardEvent('g1', {kind: 'leaving'});
        break;
      case 'caller leaves':
        this.disconnectCaller();
        break;
      case 'caller repeats at once':
        this.sendRequest('e2', false);
        break;
    }
  }

  private startGuard(box: string): void {
    const incarnation = (this.incarnations.get(box) ?? 0) + 1;
    this.incarnations.set(box, incarnation);
    const guard = new GuardStateMachine({
      box,
      incarnation: String(incarnation),
    });
    this.guards.set(box, guard);
    guard.handle(this.now, this.random, createServicesEvent(box, 'in-service'));
  }

  private startEntry(box: string): void {
    this.entries.set(
      box,
      new EntryStateMachine(box, 'one', {
        isUsable: () => true,
        incarnation: (name) => String(this.incarnations.get(name)),
      }),
    );
  }

  /** Breaks connections to the old process; its upstream keeps running. */
  private replaceGuard(box: string): void {
    this.startGuard(box);
    for (const [id, attempt] of this.attempts) {
      if (attempt.box === box) {
        this.attempts.delete(id);
        this.schedule(LINK_DELAY_MILLISECONDS, () =>
          this.sendToEntry(attempt.callId, {
            kind: 'attempt-lost',
            callId: attempt.callId,
            wasSent: true,
          }),
        );
      }
    }
  }

  private replaceEntry(box: string): void {
    this.startEntry(box);
    for (const id of this.openRequests(box)) {
      this.closed.add(id);
      this.recordResult({request: id, outcome: 'cut'});
    }
    for (const [id, attempt] of this.attempts) {
      if (attempt.callId.startsWith(`${box} `)) {
        this.sendToGuard(attempt.box, {kind: 'call-cancelled', callId: id});
      }
    }
  }

  private openRequests(box: string): readonly string[] {
    const answered = new Set(this.results.map(({request}) => request));
    return Array.from({length: this.requestCount}, (_, i) => i + 1)
      .flatMap((n) => [`e1 ${n}`, `e2 ${n}`])
      .filter((id) => id.startsWith(`${box} `) && this.isOpen(id, answered));
  }

  private isOpen(id: string, answered: ReadonlySet<string>): boolean {
    return this.sent.has(id) && !answered.has(id) && !this.closed.has(id);
  }

  private readonly sent = new Set<string>();

  private disconnectCaller(): void {
    for (const id of [...this.openRequests('e1'), ...this.openRequests('e2')]) {
      this.closed.add(id);
      this.sendToEntry(id, {kind: 'caller-left', callId: id});
    }
  }

  private sendRequest(entry: string, isFirst: boolean): void {
    this.requestCount += 1;
    const id = `${entry} ${this.requestCount}`;
    this.sent.add(id);
    const isOnce = this.onceKey !== undefined;
    const route = this.view.routes.find(
      ({spec}) => (spec.repetition === 'once-only') === isOnce,
    );
    const call: EntryCall = {
      id,
      view: this.view,
      route: route as EntryCall['route'],
      customer: 'c',
      bytes: 0,
      deadline: this.now + WAIT_MILLISECONDS,
      onceKey: isOnce ? parseOnceKey(this.onceKey ?? '') : undefined,
      isFirstWithKey: isFirst,
      isReplayable: true,
      isCallersRetry: false,
    };
    this.schedule(LINK_DELAY_MILLISECONDS, () =>
      this.sendToEntry(id, {kind: 'call-arrived', call}),
    );
    this.schedule(LINK_DELAY_MILLISECONDS + WAIT_MILLISECONDS, () =>
      this.sendToEntry(id, {
        kind: 'call-aborted',
        callId: id,
        reason: 'deadline-passed',
        wasSent: true,
      }),
    );
  }

  /** Suspensions affect only the first entry. */
  private sendToEntry(id: string, event: EntryEvent): void {
    const remaining = this.entrySuspendedUntil - this.now;
    if (remaining > 0 && id.startsWith('e1 ')) {
      this.schedule(remaining, () => this.sendToEntry(id, event));
      return;
    }
    const entry = this.entries.get(id.split(' ')[0] ?? '');
    const actions = entry?.handle(this.now, this.random, event) ?? [];
    actions.forEach((action) => this.performEntryAction(id, action));
  }

  private performEntryAction(id: string, action: EntryAction): void {
    switch (action.kind) {
      case 'attempt':
        this.sendAttempt(action.attempt);
        break;
      case 'refuse':
        this.recordRefusal(id, action.refusal);
        break;
      case 'pass-answer':
      case 'pass-fallback-answer':
        this.recordResult({
          request: id,
          outcome: 'answered',
          executionId: this.answeringExecutions.get(id) ?? '',
        });
        this.sendToEntry(id, {kind: 'answer-ended', callId: id});
        break;
      case 'cancel-attempt':
        for (const [attemptId, attempt] of this.attempts) {
          if (attempt.callId === id) {
            this.sendToGuard(attempt.box, {
              kind: 'call-cancelled',
              callId: attemptId,
            });
          }
        }
        break;
    }
  }

  private readonly answeringExecutions = new Map<string, string>();

  private recordResult(result: RequestResult): void {
    if (this.closed.has(result.request) && result.outcome !== 'cut') {
      return;
    }
    this.results.push(result);
    const isUndetermined =
      result.outcome === 'unknown' || result.outcome === 'cut';
    if (
      this.onceKey !== undefined &&
      isUndetermined &&
      this.requestCount < MAXIMUM_REQUESTS
    ) {
      this.schedule(REPEAT_DELAY_MILLISECONDS, () =>
        this.sendRequest('e2', false),
      );
    }
  }

  private recordRefusal(id: string, {outcome}: Refusal): void {
    this.recordResult({request: id, outcome});
  }

  private sendAttempt(attempt: Attempt): void {
    this.attemptCount += 1;
    const {call} = attempt;
    const id = `${attempt.callId} ${this.attemptCount}`;
    this.attempts.set(id, attempt);
    const remaining = call.deadline - this.now - 5;
    this.sendToGuard(attempt.box, {
      kind: 'call-offered',
      call: {
        id,
        service: SERVICE,
        upstream: attempt.upstream,
        customer: 'c',
        weight: 1,
        route: call.route.name,
        repetition: call.route.spec.repetition,
        priority: 5,
        deadline: this.guardClock(attempt.box) + remaining,
        attempt: attempt.number,
        retryShare: 1,
        onceKey: call.onceKey?.text,
        requestDigest: 'd',
      },
    });
    this.schedule(remaining, () =>
      this.handleGuardEvent(attempt.box, {
        kind: 'call-deadline-passed',
        callId: id,
      }),
    );
  }

  private guardClock(box: string): number {
    return this.now + (box === 'g1' ? this.guardClockOffset : 0);
  }

  /** Cut links and pauses affect only the first guard. */
  private sendToGuard(box: string, event: GuardEvent): void {
    if (this.isLinkToGuardCut && box === 'g1') {
      return;
    }
    this.schedule(LINK_DELAY_MILLISECONDS, () =>
      this.handleGuardEvent(box, event),
    );
  }

  private handleGuardEvent(box: string, event: GuardEvent): void {
    if (box === 'g1' && this.now < this.guardPausedUntil) {
      this.schedule(this.guardPausedUntil - this.now, () =>
        this.handleGuardEvent(box, event),
      );
      return;
    }
    const guard = this.guards.get(box);
    const now = this.guardClock(box);
    const actions = guard?.handle(now, this.random, event) ?? [];
    actions.forEach((action) => this.performGuardAction(box, action));
  }

  private performGuardAction(box: string, action: GuardAction): void {
    switch (action.kind) {
      case 'run':
        this.execute(box, action.callId);
        break;
      case 'refuse': {
        const {refusal, upstream, hint} = action;
        this.sendReply(box, action.callId, (callId) => ({
          kind: 'attempt-refused',
          callId,
          refusal,
          upstream,
          hint,
        }));
        break;
      }
      case 'answer-stored': {
        const executionId = Buffer.from(action.answer.body).toString();
        this.sendAnswer(box, action.callId, 200, executionId);
        break;
      }
      case 'abort':
        this.aborted.add(action.callId);
        break;
    }
  }

  private execute(box: string, id: string): void {
    const {upstreamMode} = this;
    if (upstreamMode === 'refuses' && box === 'g1') {
      this.schedule(LINK_DELAY_MILLISECONDS, () =>
        this.handleGuardEvent(box, {
          kind: 'upstream-failed',
          callId: id,
          wasSent: false,
        }),
      );
      return;
    }
    this.executions.push(id);
    const guard = this.guards.get(box);
    const isFaulty = box === 'g1';
    if (upstreamMode === 'hangs' && isFaulty) {
      return;
    }
    const status = upstreamMode === 'errors' && isFaulty ? 500 : 200;
    const duration =
      upstreamMode === 'slow' && isFaulty
        ? EXECUTION_MILLISECONDS * 10
        : EXECUTION_MILLISECONDS;
    this.schedule(duration, () => {
      if (this.guards.get(box) !== guard || this.aborted.has(id)) {
        return;
      }
      const {notice} = this;
      this.handleGuardEvent(box, {
        kind: 'upstream-stated',
        callId: id,
        notice,
      });
      const answer = {status, headers: {}, body: Buffer.from(id)};
      this.handleGuardEvent(box, {
        kind: 'upstream-answered',
        callId: id,
        status,
        isShed: false,
        answer,
      });
      this.sendAnswer(box, id, status, id);
    });
  }

  private sendAnswer(
    box: string,
    id: string,
    status: number,
    executionId: string,
  ): void {
    this.sendReply(box, id, (callId) => {
      this.answeringExecutions.set(callId, executionId);
      return {
        kind: 'attempt-answered',
        callId,
        status,
        isWhole: true,
        hint: undefined,
      };
    });
  }

  private sendReply(
    box: string,
    id: string,
    event: (callId: string) => EntryEvent,
  ): void {
    const attempt = this.attempts.get(id);
    if (attempt === undefined || (this.isLinkFromGuardCut && box === 'g1')) {
      return;
    }
    this.attempts.delete(id);
    this.schedule(LINK_DELAY_MILLISECONDS, () =>
      this.sendToEntry(attempt.callId, event(attempt.callId)),
    );
  }
}

function createServicesEvent(
  box: string,
  state: 'in-service' | 'draining',
): GuardEvent {
  const upstreams = createView()
    .upstreams.filter(({spec}) => spec.box === box)
    .map((upstream) => ({...upstream, spec: {...upstream.spec, state}}));
  return {
    kind: 'services-changed',
    services: [{name: SERVICE, sensitivity: 'balanced', upstreams}],
  };
}

function createView(): ServiceView {
  const route = (name: string, repetition: string) =>
    createWrite('Route', `${SERVICE}/${name}`, {
      pathPrefix: `/${name}`,
      repetition,
      waitMilliseconds: WAIT_MILLISECONDS,
    });
  const upstream = (box: string, port: number) =>
    createWrite('Upstream', `${SERVICE}/${box}`, {
      address: `127.0.0.1:${port}`,
      dataCentre: box === 'g1' ? 'one' : 'two',
      box,
      slots: 2,
    });
  const state = new ConfigurationState();
  const writes = [
    createWrite('Customer', 'c', {}),
    createWrite('Service', SERVICE, {}),
    route('read', 'repeatable'),
    route('claim', 'once-only'),
    upstream('g1', 9001),
    upstream('g2', 9002),
  ];
  foldChange(state, {
    offset: 0,
    value: {kind: 'change', changeId: 'one', author: 'test', writes},
  });
  const view = state.service(SERVICE);
  if (view === undefined) {
    throw new Error('the service was not created');
  }
  return view;
}
