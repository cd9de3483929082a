// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Calls whose bodies are streamed are offered again only with the whole body. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import type {RefusalReason, Repetition, Resource} from '@lockpin/types';
import type {EntryAction, EntryEvent} from '../entry/entryMessages.js';
import {
  DEFAULT_ENTRY_SETTINGS,
  UNSENT_REFUSALS,
} from '../entry/entrySettings.js';
import {EntryStateMachine} from '../entry/entryStateMachine.js';

const CALL_ID = '1';

const REASONS: readonly RefusalReason[] = [
  ...UNSENT_REFUSALS,
  'upstream-refused',
  'upstream-failed',
];

/** How an attempt may end without an answer of its upstream. */
type AttemptEnd =
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly outcome: 'not-run' | 'unknown';
    }
  | {readonly kind: 'lost'; readonly wasSent: boolean}
  | {readonly kind: 'unacknowledged'}
  | {readonly kind: 'failed'; readonly isWhole: boolean};

const attemptEnd: fc.Arbitrary<AttemptEnd> = fc.oneof(
  fc.record({
    kind: fc.constant('refused' as const),
    reason: fc.constantFrom(...REASONS),
    outcome: fc.constantFrom('not-run' as const, 'unknown' as const),
  }),
  fc.record({kind: fc.constant('lost' as const), wasSent: fc.boolean()}),
  fc.constant({kind: 'unacknowledged' as const}),
  fc.record({kind: fc.constant('failed' as const), isWhole: fc.boolean()}),
);

const UPSTREAMS: readonly Resource<'Upstream'>[] = ['a', 'b', 'c', 'd'].map(
  (box) => ({
    kind: 'Upstream',
    name: `s/${box}`,
    version: 1,
    spec: {
      address: '',
      dataCentre: 'd',
      box,
      slots: 4,
      connections: 9,
      state: 'in-service',
    },
  }),
);

/** One call, with a body that is held or streamed. */
class StreamedCall {
  actions: readonly EntryAction[] = [];
  private now = 0;
  private readonly random = seededRandom(7);
  private readonly entry = new EntryStateMachine(
    'a',
    'd',
    {isUsable: () => true, incarnation: () => undefined},
    {
      ...DEFAULT_ENTRY_SETTINGS,
      initialTerms: 'immediate',
      offersPerTerms: 4,
      pauseMilliseconds: 30,
      heldShare: 0.4,
      maximumReroutes: 12,
      freeRerouteRefusals: UNSENT_REFUSALS,
      hedgesOverdue: true,
    },
  );

  constructor(repetition: Repetition, isReplayable: boolean) {
    const route = {
      kind: 'Route' as const,
      name: 'r',
      version: 1,
      spec: {
        method: '*',
        pathPrefix: '/',
        repetition,
        waitMilliseconds: 2000,
        priority: 0,
        retryShare: 1,
        onceKeyHeader: '',
      },
    };
    this.handle({
      kind: 'call-arrived',
      call: {
        id: CALL_ID,
        view: {
          name: 's',
          customer: 's',
          routes: [route],
          service: {} as never,
          upstreams: UPSTREAMS,
        },
        route,
        customer: 's',
        requestDigest: '',
        bytes: 0,
        deadline: 2000,
        onceKey: undefined,
        isFirstWithKey: false,
        isReplayable,
        isCallersRetry: false,
      },
    });
  }

  /** Passes an event, and the ends of the pauses that follow, within 1 s. */
  handle(event: EntryEvent): readonly EntryAction[] {
    this.now += 1;
    this.actions = this.entry.handle(this.now, this.random, event);
    let pause = this.actions.find(({kind}) => kind === 'pause');
    while (pause?.kind === 'pause' && this.now < 1000) {
      this.now += pause.milliseconds;
      const next = this.entry.handle(this.now, this.random, {
        kind: 'pause-ended',
        callId: CALL_ID,
      });
      this.actions = [...this.actions, ...next];
      pause = next.find(({kind}) => kind === 'pause');
    }
    return this.actions;
  }

  end(end: AttemptEnd): readonly EntryAction[] {
    const callId = CALL_ID;
    const hint = undefined;
    switch (end.kind) {
      case 'refused': {
        const {reason, outcome} = end;
        const refusal = {reason, outcome, retryAfterMilliseconds: 0};
        const upstream = '';
        return this.handle({
          kind: 'attempt-refused',
          callId,
          refusal,
          upstream,
          hint,
        });
      }
      case 'lost':
        return this.handle({
          kind: 'attempt-lost',
          callId,
          wasSent: end.wasSent,
        });
      case 'unacknowledged':
        return this.handle({kind: 'attempt-unacknowledged', callId});
      case 'failed':
        return this.handle({
          kind: 'attempt-answered',
          callId,
          status: 500,
          isWhole: end.isWhole,
          hint,
          ranMilliseconds: 1,
        });
    }
  }

  get isOffered(): boolean {
    return this.actions.some(({kind}) => kind === 'attempt');
  }
}

describe.each(['at-most-once', 'repeatable'] as const)('a %s call', (kind) => {
  it('never goes to a second upstream once its streamed body has begun', () => {
    fc.assert(
      fc.property(
        fc.array(attemptEnd, {maxLength: 4}),
        fc.boolean(),
        attemptEnd,
        (before, isOverdue, end) => {
          const call = new StreamedCall(kind, false);
          for (const earlier of before) {
            if (call.isOffered) {
              call.end(earlier);
            }
          }
          if (!call.isOffered) {
            return;
          }
          expect(call.handle({kind: 'body-begun', callId: CALL_ID})).toEqual(
            [],
          );
          if (isOverdue) {
            expect(
              call.handle({kind: 'attempt-overdue', callId: CALL_ID}),
            ).toEqual([]);
          }
          const actions = call
            .end(end)
            .filter(({kind: one}) => one !== 'cancel-attempt');
          expect(actions).toHaveLength(1);
          expect(['refuse', 'pass-answer', 'pass-fallback-answer']).toContain(
            actions[0]?.kind,
          );
        },
      ),
      {numRuns: 500, seed: 70},
    );
  });

  it.each(REASONS)(
    'is refused at once, with a time to return, when its body has begun: %s',
    (reason) => {
      const call = new StreamedCall(kind, false);
      call.handle({kind: 'body-begun', callId: CALL_ID});
      expect(call.end({kind: 'refused', reason, outcome: 'not-run'})).toEqual([
        {
          kind: 'refuse',
          callId: CALL_ID,
          refusal: {
            reason,
            outcome: 'not-run',
            retryAfterMilliseconds: expect.toSatisfy((time) => time > 0),
          },
        },
      ]);
    },
  );

  it.each([...UNSENT_REFUSALS])(
    'finds another upstream while none of its body has gone out: %s',
    (reason) => {
      const call = new StreamedCall(kind, false);
      call.end({kind: 'refused', reason, outcome: 'not-run'});
      expect(call.isOffered).toBe(true);
    },
  );

  it('finds another upstream after one that was not reached', () => {
    const call = new StreamedCall(kind, false);
    call.end({kind: 'lost', wasSent: false});
    expect(call.isOffered).toBe(true);
  });

  it.each([...UNSENT_REFUSALS])(
    'finds another upstream with a body that is held: %s',
    (reason) => {
      const call = new StreamedCall(kind, true);
      call.handle({kind: 'body-begun', callId: CALL_ID});
      call.end({kind: 'refused', reason, outcome: 'not-run'});
      expect(call.isOffered).toBe(true);
    },
  );
});
