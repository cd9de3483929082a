// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Tests that a call refused as not run never runs, and that a once key runs at
 * most once.
 */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {mintOnceKey} from '@lockpin/once';
import {seededRandom} from '@lockpin/utils';
import type {Resource} from '@lockpin/types';
import {GuardStateMachine} from '../guard/guardStateMachine.js';
import type {GuardAction, GuardEvent} from '../guard/guardMessages.js';

const SERVICE = 'customer/service';
const KEYS = 5;

type Step =
  | {
      readonly kind: 'offer';
      readonly key: number | undefined;
      readonly priority: number;
      readonly wait: number;
      readonly body: number;
    }
  | {readonly kind: 'cancel' | 'deadline'; readonly call: number}
  | {
      readonly kind: 'answer';
      readonly call: number;
      readonly status: number;
      readonly isStored: boolean;
    }
  | {readonly kind: 'fail'; readonly call: number; readonly wasSent: boolean}
  | {
      readonly kind: 'state';
      readonly call: number;
      readonly requestsPerSecond: number | undefined;
      readonly isLeaving: boolean;
    }
  | {readonly kind: 'tick'; readonly milliseconds: number}
  | {readonly kind: 'drain' | 'restart' | 'leave'};

const callIndex = fc.nat({max: 40});

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({
      kind: fc.constant('offer' as const),
      key: fc.option(fc.nat({max: KEYS - 1}), {nil: undefined}),
      priority: fc.nat({max: 3}),
      wait: fc.constantFrom(1, 30, 200, 5000),
      body: fc.nat({max: 1}),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constantFrom('cancel' as const, 'deadline' as const),
      call: callIndex,
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('answer' as const),
      call: callIndex,
      status: fc.constantFrom(200, 404, 500),
      isStored: fc.boolean(),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('fail' as const),
      call: callIndex,
      wasSent: fc.boolean(),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('state' as const),
      call: callIndex,
      requestsPerSecond: fc.constantFrom(undefined, 0, 2, 50),
      isLeaving: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('tick' as const),
      milliseconds: fc.constantFrom(1, 20, 500),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constantFrom(
        'drain' as const,
        'restart' as const,
        'leave' as const,
      ),
    }),
  },
);

/** Runs a guard and records which calls it refused and which were run. */
class GuardSimulation {
  readonly incarnationByCall = new Map<string, string>();
  readonly reportedNotRun = new Set<string>();
  readonly runsByKey = new Map<string, number>();
  /** Keys of calls reported as not run; new keys may be in use by now. */
  readonly keysReportedNotRun = new Set<string>();
  answeredFromStore = 0;
  private now = 1_000_000;
  private guard: GuardStateMachine;
  private readonly random = seededRandom(3);
  private readonly onceKeys: readonly string[];
  private readonly callIds: string[] = [];
  private readonly keyOfCall = new Map<string, string | undefined>();
  private incarnation = 1;

  constructor() {
    this.guard = this.startGuard('in-service');
    const home = {box: 'box', incarnation: '1'};
    this.onceKeys = Array.from({length: KEYS}, (_, i) =>
      mintOnceKey(this.now + i, this.random, home),
    );
  }

  run(step: Step): void {
    switch (step.kind) {
      case 'offer':
        this.offer(step);
        break;
      case 'cancel':
        this.handleEvent({
          kind: 'call-cancelled',
          callId: this.callIdAt(step.call),
        });
        break;
      case 'deadline':
        this.handleEvent({
          kind: 'call-deadline-passed',
          callId: this.callIdAt(step.call),
        });
        break;
      case 'answer':
        this.answer(step);
        break;
      case 'fail':
        this.fail(this.callIdAt(step.call), step.wasSent);
        break;
      case 'state':
        this.state(step);
        break;
      case 'tick':
        this.now += step.milliseconds;
        this.handleEvent({kind: 'tick'});
        break;
      case 'drain':
        this.handleEvent(createServicesEvent('draining'));
        break;
      case 'leave':
        this.handleEvent({kind: 'leaving'});
        break;
      case 'restart':
        this.incarnation += 1;
        this.guard = this.startGuard('in-service');
        break;
    }
  }

  private startGuard(state: 'in-service' | 'draining'): GuardStateMachine {
    const guard = new GuardStateMachine({
      box: 'box',
      incarnation: String(this.incarnation),
    });
    guard.handle(this.now, this.random, createServicesEvent(state));
    return guard;
  }

  private callIdAt(index: number): string {
    return this.callIds[index % (this.callIds.length || 1)] ?? 'none';
  }

  private offer(step: Step & {readonly kind: 'offer'}): void {
    const id = `call-${this.callIds.length}`;
    const onceKey =
      step.key === undefined ? undefined : this.onceKeys[step.key];
    this.callIds.push(id);
    this.keyOfCall.set(id, onceKey);
    this.handleEvent({
      kind: 'call-offered',
      call: {
        id,
        service: SERVICE,
        upstream: onceKey === undefined ? `${SERVICE}/upstream` : undefined,
        customer: 'customer',
        weight: 1,
        route: 'route',
        repetition: onceKey === undefined ? 'repeatable' : 'once-only',
        priority: step.priority,
        deadline: this.now + step.wait,
        attempt: 1,
        retryShare: 0.1,
        onceKey,
        requestDigest: String(step.body),
      },
    });
  }

  /** An upstream answers only calls that the current guard process ran. */
  private answer(step: Step & {readonly kind: 'answer'}): void {
    const callId = this.callIdAt(step.call);
    if (this.incarnationByCall.get(callId) !== String(this.incarnation)) {
      return;
    }
    const answer = step.isStored
      ? {status: step.status, headers: {}, body: new Uint8Array(3)}
      : undefined;
    const {status} = step;
    this.handleEvent({
      kind: 'upstream-answered',
      callId,
      status,
      isShed: false,
      answer,
    });
  }

  private state(step: Step & {readonly kind: 'state'}): void {
    const callId = this.callIdAt(step.call);
    if (this.incarnationByCall.get(callId) === String(this.incarnation)) {
      const {requestsPerSecond, isLeaving} = step;
      const notice = {requestsPerSecond, isLeaving, unreadableLimit: undefined};
      this.handleEvent({kind: 'upstream-stated', callId, notice});
    }
  }

  private fail(callId: string, wasSent: boolean): void {
    if (this.incarnationByCall.get(callId) !== String(this.incarnation)) {
      return;
    }
    if (!wasSent) {
      this.withdrawRun(callId);
    }
    this.handleEvent({kind: 'upstream-failed', callId, wasSent});
  }

  /** The connection was refused, so the upstream never received the call. */
  private withdrawRun(callId: string): void {
    this.incarnationByCall.delete(callId);
    const key = this.keyOfCall.get(callId);
    if (key !== undefined) {
      this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) - 1);
    }
  }

  private handleEvent(event: GuardEvent): void {
    for (const action of this.guard.handle(this.now, this.random, event)) {
      this.performAction(action);
    }
  }

  private performAction(action: GuardAction): void {
    if (action.kind === 'run') {
      this.incarnationByCall.set(action.callId, String(this.incarnation));
      const key = this.keyOfCall.get(action.callId);
      if (key !== undefined) {
        this.runsByKey.set(key, (this.runsByKey.get(key) ?? 0) + 1);
      }
    } else if (action.kind === 'refuse') {
      if (action.refusal.outcome === 'not-run') {
        this.reportedNotRun.add(action.callId);
        const key = this.keyOfCall.get(action.callId);
        if (key !== undefined && action.refusal.reason !== 'once-key-reused') {
          this.keysReportedNotRun.add(key);
        }
      }
    } else if (action.kind === 'answer-stored') {
      this.answeredFromStore += 1;
    }
  }
}

function createServicesEvent(state: 'in-service' | 'draining'): GuardEvent {
  const upstream: Resource<'Upstream'> = {
    kind: 'Upstream',
    name: `${SERVICE}/upstream`,
    version: 1,
    spec: {
      address: '127.0.0.1:9000',
      dataCentre: 'one',
      box: 'box',
      slots: 2,
      connections: 10,
      state,
    },
  };
  return {
    kind: 'services-changed',
    services: [{name: SERVICE, sensitivity: 'balanced', upstreams: [upstream]}],
  };
}

describe('a guard', () => {
  it('never runs a call it reported as not run, and runs a key at most once', () => {
    let refusals = 0;
    let stored = 0;
    fc.assert(
      fc.property(fc.array(step, {minLength: 20, maxLength: 120}), (steps) => {
        const simulation = new GuardSimulation();
        for (const next of steps) {
          simulation.run(next);
          const violations = [...simulation.reportedNotRun].filter((id) =>
            simulation.incarnationByCall.has(id),
          );
          expect(violations).toEqual([]);
          expect(Math.max(0, ...simulation.runsByKey.values())).toBeLessThan(2);
        }
        refusals += simulation.reportedNotRun.size;
        stored += simulation.answeredFromStore;
      }),
      {numRuns: 600, seed: 11},
    );
    // The property is vacuous unless refusals and stored answers occur.
    expect(refusals).toBeGreaterThan(100);
    expect(stored).toBeGreaterThan(100);
  });
});
