// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tests that an entry ends each call once, with not-run only when certain. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
  ConfigurationState,
  foldChange,
  createWrite,
} from '@lockpin/configuration';
import {mintOnceKey, parseOnceKey} from '@lockpin/once';
import {seededRandom} from '@lockpin/utils';
import type {Refusal} from '@lockpin/types';
import {EntryStateMachine} from '../entry/entryStateMachine.js';
import type {
  EntryAction,
  EntryCall,
  EntryEvent,
} from '../entry/entryMessages.js';

type Reply =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly isWhole: boolean;
    }
  | {
      readonly kind: 'refused';
      readonly reason: Refusal['reason'];
      readonly outcome: Refusal['outcome'];
    }
  | {readonly kind: 'lost'; readonly wasSent: boolean}
  | {readonly kind: 'deadline' | 'left'};

const reply: fc.Arbitrary<Reply> = fc.oneof(
  fc.record({
    kind: fc.constant('answered' as const),
    status: fc.constantFrom(200, 404, 500, 503),
    isWhole: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant('refused' as const),
    reason: fc.constantFrom(
      'upstream-ejected' as const,
      'queue-full' as const,
      'upstream-failed' as const,
      'node-leaving' as const,
    ),
    outcome: fc.constantFrom('not-run' as const, 'unknown' as const),
  }),
  fc.record({kind: fc.constant('lost' as const), wasSent: fc.boolean()}),
  fc.record({kind: fc.constantFrom('deadline' as const, 'left' as const)}),
);

const service = createServiceView();

function createServiceView() {
  const state = new ConfigurationState();
  foldChange(state, {
    offset: 0,
    value: {
      kind: 'change',
      changeId: 'one',
      author: 'test',
      writes: [
        createWrite('Customer', 'c', {}),
        createWrite('Service', 'c/s', {}),
        createWrite('Route', 'c/s/read', {
          pathPrefix: '/read',
          repetition: 'repeatable',
          waitMilliseconds: 1000,
        }),
        createWrite('Route', 'c/s/claim', {
          pathPrefix: '/claim',
          repetition: 'once-only',
          waitMilliseconds: 1000,
        }),
        ...[1, 2, 3, 4].map((i) =>
          createWrite('Upstream', `c/s/u${i}`, {
            address: `127.0.0.1:${9000 + i}`,
            dataCentre: 'one',
            box: `box-${i}`,
            slots: 2,
          }),
        ),
      ],
    },
  });
  const view = state.service('c/s');
  if (view === undefined) {
    throw new Error('the service was not created');
  }
  return view;
}

function createCall(
  isOnce: boolean,
  isReplayable: boolean,
  isFirst: boolean,
): EntryCall {
  const key = mintOnceKey(1, seededRandom(1), {box: 'box-1', incarnation: 'a'});
  const route = service.routes.find(({spec}) =>
    isOnce ? spec.repetition === 'once-only' : spec.repetition === 'repeatable',
  );
  return {
    id: 'call',
    view: service,
    route: route as EntryCall['route'],
    customer: 'c',
    bytes: 10,
    deadline: 2000,
    onceKey: isOnce ? parseOnceKey(key) : undefined,
    isFirstWithKey: isFirst,
    isReplayable: isReplayable || isOnce,
    isCallersRetry: false,
  };
}

function eventFor(next: Reply, upstream: string): EntryEvent {
  const callId = 'call';
  switch (next.kind) {
    case 'answered':
      return {
        kind: 'attempt-answered',
        callId,
        ...answerFields(next),
        hint: undefined,
      };
    case 'refused': {
      const {reason, outcome} = next;
      const refusal = {reason, outcome, retryAfterMilliseconds: 0};
      return {
        kind: 'attempt-refused',
        callId,
        refusal,
        upstream,
        hint: undefined,
      };
    }
    case 'lost':
      return {kind: 'attempt-lost', callId, wasSent: next.wasSent};
    case 'deadline':
      return {
        kind: 'call-aborted',
        callId,
        reason: 'deadline-passed',
        wasSent: true,
      };
    case 'left':
      return {kind: 'caller-left', callId};
  }
}

function answerFields({status, isWhole}: Reply & {readonly kind: 'answered'}) {
  return {status, isWhole};
}

describe('an entry', () => {
  it('ends every call once and reports not-run only when it is certain', () => {
    fc.assert(
      fc.property(
        fc.boolean(),
        fc.boolean(),
        fc.boolean(),
        fc.array(reply, {minLength: 12, maxLength: 12}),
        (isOnce, isReplayable, isFirst, replies) => {
          const entry = new EntryStateMachine('box-9', 'one', {
            isUsable: () => true,
            incarnation: () => 'a',
          });
          const call = createCall(isOnce, isReplayable, isFirst);
          let actions = entry.handle(1000, seededRandom(5), {
            kind: 'call-arrived',
            call,
          });
          let mayHaveRun = isOnce && !isFirst;
          let attempts = 0;
          let endCount = 0;
          const triedTargets: string[] = [];
          for (const next of replies) {
            const attempt = lastAttempt(actions);
            if (attempt === undefined) {
              break;
            }
            attempts += 1;
            triedTargets.push(attempt.upstream ?? attempt.box);
            mayHaveRun ||= couldRun(next, isOnce);
            if (
              next.kind === 'refused' &&
              isOnce &&
              next.outcome === 'not-run'
            ) {
              mayHaveRun = false;
            }
            actions = entry.handle(
              1001,
              seededRandom(6),
              eventFor(next, triedTargets.at(-1) ?? ''),
            );
            endCount += actions.filter(isEnd).length;
            if (next.kind === 'left') {
              endCount += 1;
            }
            const refusal = actions.find(({kind}) => kind === 'refuse');
            if (
              refusal?.kind === 'refuse' &&
              refusal.refusal.outcome === 'not-run'
            ) {
              expect(mayHaveRun).toBe(false);
            }
          }
          expect(endCount).toBe(1);
          expect(new Set(triedTargets).size).toBe(triedTargets.length);
          if (isOnce) {
            expect(attempts).toBe(1);
          }
          entry.handle(1002, seededRandom(7), {
            kind: 'answer-ended',
            callId: 'call',
          });
          expect(entry.callCount).toBe(0);
        },
      ),
      {numRuns: 2000, seed: 3},
    );
  });
});

function couldRun(next: Reply, isOnce: boolean): boolean {
  switch (next.kind) {
    case 'refused':
      return next.outcome === 'unknown';
    case 'lost':
      return next.wasSent;
    case 'answered':
      return true;
    default:
      return next.kind === 'deadline' || isOnce;
  }
}

function lastAttempt(actions: readonly EntryAction[]) {
  const found = actions.find((action) => action.kind === 'attempt');
  return found?.kind === 'attempt' ? found.attempt : undefined;
}

function isEnd({kind}: EntryAction): boolean {
  return (
    kind === 'refuse' ||
    kind === 'pass-answer' ||
    kind === 'pass-fallback-answer'
  );
}
