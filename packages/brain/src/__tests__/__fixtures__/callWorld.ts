// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** One caller's work on two entries, two guards and their upstreams, step by step. */

import {
  ConfigurationState,
  foldChange,
  createWrite,
} from '@lockpin/configuration';
import type {ServiceView} from '@lockpin/configuration';
import {mintOnceKey, parseOnceKey} from '@lockpin/once';
import {seededRandom} from '@lockpin/utils';
import type {Refusal, RefusalOutcome} from '@lockpin/types';
import {EntryBrain} from '../../entry/entryBrain.js';
import type {
  Attempt,
  EntryAction,
  EntryCall,
  EntryEvent,
} from '../../entry/entryMessages.js';
import {GuardBrain} from '../../guard/guardBrain.js';
import type {GuardAction, GuardEvent} from '../../guard/guardMessages.js';

/** What may go wrong at any step. */
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
  'node leaves',
  'caller leaves',
  'caller repeats at once',
] as const;

/** One of the faults. */
export type CallFault = (typeof CALL_FAULTS)[number];

/** A fault and the step that it comes before. */
export interface TimedFault {
  readonly fault: CallFault;
  readonly step: number;
}

/** What the caller was told of one request. */
export interface Told {
  readonly request: string;
  readonly outcome: 'answered' | RefusalOutcome | 'cut';
  /** The request that the answer belongs to. */
  readonly answerTo?: string;
}

interface Timed {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

const SERVICE = 'c/s';
const WAIT = 400;
const HOP = 1;
const WORK = 10;
const PAUSE = 150;

/** Longer than any call may take. */
const SUSPENSION = 60_000;

/** What a clock is set by. */
const CLOCK_STEP = 3_600_000;
const REPEAT_AFTER = 20;
const MOST_REPEATS = 3;

/** Runs the work of one caller; a fault comes before a chosen step. */
export class CallWorld {
  readonly told: Told[] = [];
  /** Requests in the order in which upstreams ran them. */
  readonly executions: string[] = [];
  steps = 0;
  private now = 1_000_000;
  private order = 0;
  private queue: Timed[] = [];
  private readonly random = seededRandom(2);
  private readonly view: ServiceView = makeView();
  private readonly entries = new Map<string, EntryBrain>();
  private readonly guards = new Map<string, GuardBrain>();
  private readonly incarnations = new Map<string, number>();
  private readonly attempts = new Map<string, Attempt>();
  private readonly aborted = new Set<string>();
  private readonly gone = new Set<string>();
  private readonly key: string | undefined;
  private sent = 0;
  private attemptSerial = 0;
  private upstream: 'well' | 'errors' | 'hangs' | 'refuses' | 'slow' = 'well';
  private cutTo = false;
  private cutFrom = false;
  private pausedUntil = 0;
  private entryWakesAt = 0;
  /** How far the clock of the first guard is ahead. */
  private guardAhead = 0;

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
    this.key = isOnce
      ? mintOnceKey(this.now, this.random, {box: 'g1', incarnation: '1'})
      : undefined;
  }

  /** Runs until nothing is left to do. */
  run(): void {
    this.send('e1', true);
    for (let next = this.next(); next; next = this.next()) {
      this.now = Math.max(this.now, next.at);
      for (const {fault, step} of this.faults) {
        if (step === this.steps) {
          this.bring(fault);
        }
      }
      this.steps += 1;
      next.run();
    }
  }

  private next(): Timed | undefined {
    this.queue.sort((a, b) => a.at - b.at || a.order - b.order);
    return this.queue.shift();
  }

  private later(delay: number, run: () => void): void {
    this.order += 1;
    this.queue.push({at: this.now + delay, order: this.order, run});
  }

  private bring(fault: CallFault): void {
    switch (fault) {
      case 'upstream answers errors':
        this.upstream = 'errors';
        break;
      case 'upstream hangs':
        this.upstream = 'hangs';
        break;
      case 'upstream refuses connections':
        this.upstream = 'refuses';
        break;
      case 'upstream slows down tenfold':
        this.upstream = 'slow';
        break;
      case 'link to the guard is cut':
        this.cutTo = true;
        break;
      case 'link from the guard is cut':
        this.cutFrom = true;
        break;
      case 'guard is replaced':
        this.replaceGuard('g1');
        break;
      case 'guard is paused':
        this.pausedUntil = this.now + PAUSE;
        break;
      case 'box of the guard is suspended':
        this.pausedUntil = this.now + SUSPENSION;
        break;
      case 'box of the entry is suspended':
        this.entryWakesAt = this.now + SUSPENSION;
        break;
      case 'clock of the guard is set back':
        this.guardAhead = -CLOCK_STEP;
        break;
      case 'clock of the guard is set forwards':
        this.guardAhead = CLOCK_STEP;
        break;
      case 'entry is replaced':
        this.replaceEntry('e1');
        break;
      case 'upstream is drained':
        this.tellGuard('g1', servicesOf('g1', 'draining'));
        break;
      case 'node leaves':
        this.tellGuard('g1', {kind: 'leaving'});
        break;
      case 'caller leaves':
        this.leave();
        break;
      case 'caller repeats at once':
        this.send('e2', false);
        break;
    }
  }

  private startGuard(box: string): void {
    const incarnation = (this.incarnations.get(box) ?? 0) + 1;
    this.incarnations.set(box, incarnation);
    const guard = new GuardBrain({box, incarnation: String(incarnation)});
    this.guards.set(box, guard);
    guard.handle(this.now, this.random, servicesOf(box, 'in-service'));
  }

  private startEntry(box: string): void {
    this.entries.set(
      box,
      new EntryBrain(box, 'one', {
        isUsable: () => true,
        incarnation: (name) => String(this.incarnations.get(name)),
      }),
    );
  }

  /** Connections to the process break; what its upstream runs goes on. */
  private replaceGuard(box: string): void {
    this.startGuard(box);
    for (const [id, attempt] of this.attempts) {
      if (attempt.box === box) {
        this.attempts.delete(id);
        this.later(HOP, () =>
          this.tellEntry(attempt.callId, {
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
      this.gone.add(id);
      this.tell({request: id, outcome: 'cut'});
    }
    for (const [id, attempt] of this.attempts) {
      if (attempt.callId.startsWith(`${box} `)) {
        this.toGuard(attempt.box, {kind: 'call-cancelled', callId: id});
      }
    }
  }

  private openRequests(box: string): readonly string[] {
    const answered = new Set(this.told.map(({request}) => request));
    return Array.from({length: this.sent}, (_, i) => i + 1)
      .flatMap((n) => [`e1 ${n}`, `e2 ${n}`])
      .filter((id) => id.startsWith(`${box} `) && this.isOpen(id, answered));
  }

  private isOpen(id: string, answered: ReadonlySet<string>): boolean {
    return this.sentIds.has(id) && !answered.has(id) && !this.gone.has(id);
  }

  private readonly sentIds = new Set<string>();

  private leave(): void {
    for (const id of [...this.openRequests('e1'), ...this.openRequests('e2')]) {
      this.gone.add(id);
      this.tellEntry(id, {kind: 'caller-left', callId: id});
    }
  }

  private send(entry: string, isFirst: boolean): void {
    this.sent += 1;
    const id = `${entry} ${this.sent}`;
    this.sentIds.add(id);
    const isOnce = this.key !== undefined;
    const route = this.view.routes.find(
      ({spec}) => (spec.repetition === 'once-only') === isOnce,
    );
    const call: EntryCall = {
      id,
      view: this.view,
      route: route as EntryCall['route'],
      customer: 'c',
      bytes: 0,
      deadline: this.now + WAIT,
      onceKey: isOnce ? parseOnceKey(this.key ?? '') : undefined,
      isFirstWithKey: isFirst,
      isReplayable: true,
      isCallersRetry: false,
    };
    this.later(HOP, () => this.tellEntry(id, {kind: 'call-arrived', call}));
    this.later(HOP + WAIT, () =>
      this.tellEntry(id, {
        kind: 'given-up',
        callId: id,
        reason: 'deadline-passed',
        wasSent: true,
      }),
    );
  }

  /** Only the first entry is suspended. */
  private tellEntry(id: string, event: EntryEvent): void {
    const remaining = this.entryWakesAt - this.now;
    if (remaining > 0 && id.startsWith('e1 ')) {
      this.later(remaining, () => this.tellEntry(id, event));
      return;
    }
    const entry = this.entries.get(id.split(' ')[0] ?? '');
    const actions = entry?.handle(this.now, this.random, event) ?? [];
    actions.forEach((action) => this.performEntry(id, action));
  }

  private performEntry(id: string, action: EntryAction): void {
    switch (action.kind) {
      case 'attempt':
        this.attempt(action.attempt);
        break;
      case 'refuse':
        this.refused(id, action.refusal);
        break;
      case 'pass-answer':
      case 'pass-spare-answer':
        this.tell({
          request: id,
          outcome: 'answered',
          answerTo: this.answers.get(id) ?? '',
        });
        this.tellEntry(id, {kind: 'answer-ended', callId: id});
        break;
      case 'cancel-attempt':
        for (const [attemptId, attempt] of this.attempts) {
          if (attempt.callId === id) {
            this.toGuard(attempt.box, {
              kind: 'call-cancelled',
              callId: attemptId,
            });
          }
        }
        break;
    }
  }

  private readonly answers = new Map<string, string>();

  private tell(told: Told): void {
    if (this.gone.has(told.request) && told.outcome !== 'cut') {
      return;
    }
    this.told.push(told);
    const isOpen = told.outcome === 'unknown' || told.outcome === 'cut';
    if (this.key !== undefined && isOpen && this.sent < MOST_REPEATS) {
      this.later(REPEAT_AFTER, () => this.send('e2', false));
    }
  }

  private refused(id: string, {outcome}: Refusal): void {
    this.tell({request: id, outcome});
  }

  private attempt(attempt: Attempt): void {
    this.attemptSerial += 1;
    const {call} = attempt;
    const id = `${attempt.callId} ${this.attemptSerial}`;
    this.attempts.set(id, attempt);
    const remaining = call.deadline - this.now - 5;
    this.toGuard(attempt.box, {
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
    this.later(remaining, () =>
      this.tellGuard(attempt.box, {kind: 'call-deadline-passed', callId: id}),
    );
  }

  private guardClock(box: string): number {
    return this.now + (box === 'g1' ? this.guardAhead : 0);
  }

  /** Only the first guard's links are cut, and only it is paused. */
  private toGuard(box: string, event: GuardEvent): void {
    if (this.cutTo && box === 'g1') {
      return;
    }
    this.later(HOP, () => this.tellGuard(box, event));
  }

  private tellGuard(box: string, event: GuardEvent): void {
    if (box === 'g1' && this.now < this.pausedUntil) {
      this.later(this.pausedUntil - this.now, () => this.tellGuard(box, event));
      return;
    }
    const guard = this.guards.get(box);
    const now = this.guardClock(box);
    const actions = guard?.handle(now, this.random, event) ?? [];
    actions.forEach((action) => this.performGuard(box, action));
  }

  private performGuard(box: string, action: GuardAction): void {
    switch (action.kind) {
      case 'run':
        this.execute(box, action.callId);
        break;
      case 'refuse': {
        const {refusal, upstream, hint} = action;
        this.reply(box, action.callId, (callId) => ({
          kind: 'attempt-refused',
          callId,
          refusal,
          upstream,
          hint,
        }));
        break;
      }
      case 'answer-stored': {
        const answerTo = Buffer.from(action.answer.body).toString();
        this.replyAnswer(box, action.callId, 200, answerTo);
        break;
      }
      case 'abort':
        this.aborted.add(action.callId);
        break;
    }
  }

  private execute(box: string, id: string): void {
    const {upstream} = this;
    if (upstream === 'refuses' && box === 'g1') {
      this.later(HOP, () =>
        this.tellGuard(box, {
          kind: 'upstream-failed',
          callId: id,
          wasSent: false,
        }),
      );
      return;
    }
    this.executions.push(id);
    const guard = this.guards.get(box);
    const isSick = box === 'g1';
    if (upstream === 'hangs' && isSick) {
      return;
    }
    const status = upstream === 'errors' && isSick ? 500 : 200;
    const work = upstream === 'slow' && isSick ? WORK * 10 : WORK;
    this.later(work, () => {
      if (this.guards.get(box) !== guard || this.aborted.has(id)) {
        return;
      }
      const answer = {status, headers: {}, body: Buffer.from(id)};
      this.tellGuard(box, {
        kind: 'upstream-answered',
        callId: id,
        status,
        isShed: false,
        answer,
      });
      this.replyAnswer(box, id, status, id);
    });
  }

  private replyAnswer(
    box: string,
    id: string,
    status: number,
    answerTo: string,
  ): void {
    this.reply(box, id, (callId) => {
      this.answers.set(callId, answerTo);
      return {
        kind: 'attempt-answered',
        callId,
        status,
        isWhole: true,
        hint: undefined,
      };
    });
  }

  private reply(
    box: string,
    id: string,
    event: (callId: string) => EntryEvent,
  ): void {
    const attempt = this.attempts.get(id);
    if (attempt === undefined || (this.cutFrom && box === 'g1')) {
      return;
    }
    this.attempts.delete(id);
    this.later(HOP, () =>
      this.tellEntry(attempt.callId, event(attempt.callId)),
    );
  }
}

function servicesOf(box: string, state: 'in-service' | 'draining'): GuardEvent {
  const upstreams = makeView()
    .upstreams.filter(({spec}) => spec.box === box)
    .map((upstream) => ({...upstream, spec: {...upstream.spec, state}}));
  return {
    kind: 'services-changed',
    services: [{name: SERVICE, sensitivity: 'balanced', upstreams}],
  };
}

function makeView(): ServiceView {
  const route = (name: string, repetition: string) =>
    createWrite('Route', `${SERVICE}/${name}`, {
      pathPrefix: `/${name}`,
      repetition,
      waitMilliseconds: WAIT,
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
    throw new Error('the service was refused');
  }
  return view;
}
