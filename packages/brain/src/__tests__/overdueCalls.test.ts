// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tests an entry whose guards are unresponsive, busy or late. */

import {describe, expect, it} from 'vitest';
import type {ServiceView} from '@lockpin/configuration';
import {WindowedRetryBudget, chooseByScore} from '@lockpin/routing';
import {seededRandom} from '@lockpin/utils';
import type {Refusal, Repetition, Resource} from '@lockpin/types';
import {EntryStateMachine} from '../entry/entryStateMachine.js';
import type {EntryAction, EntryEvent} from '../entry/entryMessages.js';
import {
  DEFAULT_ENTRY_SETTINGS,
  UNSENT_REFUSALS,
} from '../entry/entrySettings.js';

const random = seededRandom(5);
const DEADLINE_MILLISECONDS = 2000;

function createUpstream(box: string): Resource<'Upstream'> {
  return {
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
  };
}

function createRoute(repetition: Repetition): Resource<'Route'> {
  return {
    kind: 'Route',
    name: 'r',
    version: 1,
    spec: {
      method: '*',
      pathPrefix: '/',
      repetition,
      waitMilliseconds: DEADLINE_MILLISECONDS,
      priority: 0,
      retryShare: 0,
      onceKeyHeader: '',
      mostAttempts: 2,
      goalMilliseconds: 400,
    },
  };
}

class EntryHarness {
  now = 0;
  readonly entry: EntryStateMachine;
  private readonly view: ServiceView;

  constructor(boxes: readonly string[]) {
    this.view = {
      name: 's',
      customer: 's',
      service: {
        kind: 'Service',
        name: 's',
        version: 1,
        spec: {
          floorSlots: 0,
          targetSlots: 0,
          loadReportPath: '',
          sensitivity: 'fast',
          host: '',
          callerCredentialHash: '',
        },
      },
      upstreams: boxes.map(createUpstream),
      routes: [],
    };
    this.entry = new EntryStateMachine(
      'entry',
      'd',
      {isUsable: () => true, incarnation: () => undefined},
      {
        ...DEFAULT_ENTRY_SETTINGS,
        choose: chooseByScore,
        linkAvoidance: {
          failuresToAvoid: 1,
          firstAvoidanceMilliseconds: 500,
          longestAvoidanceMilliseconds: 8000,
        },
        createRetryBudget: () =>
          new WindowedRetryBudget(() => ({
            ratio: 0.2,
            windowMilliseconds: 10_000,
            extra: 10,
          })),
        initialTerms: 'immediate',
        offersPerTerms: 4,
        pauseMilliseconds: 30,
        heldShare: 0.4,
        maximumReroutes: 12,
        freeRerouteRefusals: UNSENT_REFUSALS,
        hedgesOverdue: true,
      },
    );
  }

  handle(event: EntryEvent): readonly EntryAction[] {
    return this.entry.handle(this.now, random, event);
  }

  receiveCall(
    repetition: Repetition,
    mayBeRepeat = false,
    isNested = false,
  ): readonly EntryAction[] {
    return this.handle({
      kind: 'call-arrived',
      call: {
        id: '1',
        view: this.view,
        route: createRoute(repetition),
        customer: 's',
        bytes: 0,
        deadline: DEADLINE_MILLISECONDS,
        onceKey: undefined,
        isFirstWithKey: false,
        isReplayable: true,
        isCallersRetry: false,
        mayBeRepeat,
        isNested,
      },
    });
  }

  answerAttempt(status: number): readonly EntryAction[] {
    return this.handle({
      kind: 'attempt-answered',
      callId: '1',
      status,
      isWhole: true,
      hint: undefined,
      ranMilliseconds: 10,
    });
  }

  refuseAttempt(
    upstream: string,
    reason: Refusal['reason'],
    outcome: Refusal['outcome'] = 'not-run',
    retryAfterMilliseconds = 0,
  ): readonly EntryAction[] {
    return this.handle({
      kind: 'attempt-refused',
      callId: '1',
      refusal: {reason, outcome, retryAfterMilliseconds},
      upstream,
      hint: undefined,
    });
  }
}

const kindsOf = (actions: readonly EntryAction[]) =>
  actions.map(({kind}) => kind);

function upstreamOf(actions: readonly EntryAction[]): string {
  const found = actions.find(({kind}) => kind === 'attempt');
  return found?.kind === 'attempt' ? (found.attempt.upstream ?? '') : '';
}

function refusalOf(actions: readonly EntryAction[]): string {
  const found = actions.find(({kind}) => kind === 'refuse');
  return found?.kind === 'refuse'
    ? `${found.refusal.reason} ${found.refusal.outcome}`
    : '';
}

describe('a fallback answer', () => {
  it('is returned when no upstream accepts a second attempt in the hold time', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.receiveCall('repeatable');
    let actions = harness.answerAttempt(500);
    while (
      harness.now < DEADLINE_MILLISECONDS &&
      !kindsOf(actions).includes('pass-fallback-answer')
    ) {
      const [action] = actions;
      if (action?.kind === 'pause') {
        harness.now += action.milliseconds;
        actions = harness.handle({kind: 'pause-ended', callId: '1'});
      } else {
        actions = harness.refuseAttempt(upstreamOf(actions), 'upstream-busy');
      }
      expect(refusalOf(actions)).toBe('');
    }
    expect(kindsOf(actions)).toEqual(['pass-fallback-answer']);
    expect(harness.now).toBeLessThan(DEADLINE_MILLISECONDS / 2);
  });

  it('is returned when the deadline passes during a second attempt', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.receiveCall('repeatable');
    harness.answerAttempt(500);
    harness.now = DEADLINE_MILLISECONDS;
    const actions = harness.handle({
      kind: 'call-aborted',
      callId: '1',
      reason: 'deadline-passed',
      wasSent: true,
    });
    expect(kindsOf(actions).at(-1)).toBe('pass-fallback-answer');
    expect(refusalOf(actions)).toBe('');
  });

  it('is replaced by a better answer', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.receiveCall('repeatable');
    harness.answerAttempt(500);
    expect(kindsOf(harness.answerAttempt(200))).toEqual(['pass-answer']);
  });
});

describe('an unresponsive guard', () => {
  it('is passed over at no cost, whatever the kind of call', () => {
    const harness = new EntryHarness(['a', 'b']);
    const first = upstreamOf(harness.receiveCall('at-most-once'));
    const actions = harness.handle({
      kind: 'attempt-unacknowledged',
      callId: '1',
    });
    expect(kindsOf(actions)).toEqual(['cancel-attempt', 'attempt']);
    expect(upstreamOf(actions)).not.toBe(first);
  });

  it('leaves the call not run when the time is over before any go', () => {
    const harness = new EntryHarness(['a']);
    harness.receiveCall('at-most-once');
    const ended = {callId: '1', wasSent: false};
    const actions = harness.handle({
      kind: 'call-aborted',
      reason: 'deadline-passed',
      ...ended,
    });
    expect(refusalOf(actions)).toBe('deadline-passed not-run');
  });
});

describe('a box that has lost its upstream', () => {
  it('gets no further calls although all its slots are free', () => {
    const harness = new EntryHarness(['a', 'b']);
    const asked = harness.receiveCall('repeatable');
    const missing = upstreamOf(asked);
    const again = harness.handle({
      kind: 'attempt-refused',
      callId: '1',
      refusal: {
        reason: 'no-upstream',
        outcome: 'not-run',
        retryAfterMilliseconds: 0,
      },
      upstream: '',
      hint: undefined,
    });
    expect(upstreamOf(again)).not.toBe(missing);
    harness.answerAttempt(200);
    harness.handle({kind: 'answer-ended', callId: '1'});
    for (let i = 0; i < 5; i += 1) {
      expect(upstreamOf(harness.receiveCall('repeatable'))).not.toBe(missing);
      harness.answerAttempt(200);
      harness.handle({kind: 'answer-ended', callId: '1'});
    }
  });
});

describe('a recently full upstream', () => {
  it('gets no immediate offers, but counts as full only for a short time', () => {
    const harness = new EntryHarness(['a', 'b']);
    const full = {state: 'accepting', occupied: 4, limit: 4} as const;
    harness.entry.loads.hintReceived('s/a', harness.now, full);
    expect(upstreamOf(harness.receiveCall('at-most-once'))).toBe('s/b');
    const next = harness.refuseAttempt('s/b', 'upstream-busy');
    expect(next).toMatchObject([{attempt: {terms: 'may-wait'}}]);
    expect(harness.entry.loads.isFull('s/a', harness.now + 151)).toBe(false);
  });
});

describe('a service with busy upstreams', () => {
  const BOXES = ['a', 'b', 'c', 'd', 'e', 'f'];

  function firstChoices(harness: EntryHarness): ReadonlySet<string> {
    const chosen = new Set<string>();
    for (let i = 0; i < 30; i += 1) {
      chosen.add(upstreamOf(harness.receiveCall('at-most-once')));
      harness.answerAttempt(200);
      harness.handle({kind: 'answer-ended', callId: '1'});
    }
    return chosen;
  }

  it('spreads non-repeatable calls over all upstreams while slots are free', () => {
    expect(firstChoices(new EntryHarness(BOXES)).size).toBe(BOXES.length);
  });

  it('spreads them over all upstreams after offers found no free slot', () => {
    const harness = new EntryHarness(BOXES);
    for (let i = 0; i < 6; i += 1) {
      const asked = upstreamOf(harness.receiveCall('at-most-once'));
      harness.refuseAttempt(asked, 'upstream-busy');
      harness.answerAttempt(200);
      harness.handle({kind: 'answer-ended', callId: '1'});
    }
    const spread = new Set<string>();
    for (let i = 0; i < 20; i += 1) {
      const asked = upstreamOf(harness.receiveCall('at-most-once'));
      spread.add(asked);
      harness.refuseAttempt(asked, 'upstream-busy');
      harness.answerAttempt(200);
      harness.handle({kind: 'answer-ended', callId: '1'});
    }
    expect(spread.size).toBe(BOXES.length);
  });
});

describe('upstreams that are all busy', () => {
  it('are asked to let the call wait, then asked again after a pause', () => {
    const harness = new EntryHarness(['a', 'b']);
    let actions = harness.receiveCall('at-most-once');
    const terms: string[] = [];
    while (kindsOf(actions).includes('attempt')) {
      const [action] = actions;
      if (action?.kind === 'attempt') {
        terms.push(action.attempt.terms);
        const {upstream: name} = action.attempt;
        actions = harness.refuseAttempt(name ?? '', 'upstream-busy');
      }
    }
    expect(terms).toEqual(['immediate', 'immediate', 'may-wait', 'may-wait']);
    expect(kindsOf(actions)).toEqual(['pause']);
    harness.now += 30;
    expect(kindsOf(harness.handle({kind: 'pause-ended', callId: '1'}))).toEqual(
      ['attempt'],
    );
  });

  it('refuse a nested call without a pause, since its parent holds a slot', () => {
    const harness = new EntryHarness(['a']);
    harness.receiveCall('repeatable', false, true);
    harness.refuseAttempt('s/a', 'upstream-busy');
    const actions = harness.refuseAttempt('s/a', 'upstream-busy');
    expect(kindsOf(actions)).toEqual(['refuse']);
  });

  it('are asked twice for capacity for nested calls, and the call is refused', () => {
    const harness = new EntryHarness(['a', 'b', 'c']);
    const first = upstreamOf(harness.receiveCall('at-most-once'));
    const second = harness.refuseAttempt(first, 'nested-busy');
    expect(kindsOf(second)).toEqual(['attempt']);
    const refusal = harness.refuseAttempt(
      upstreamOf(second),
      'nested-busy',
      'not-run',
      700,
    );
    expect(refusal).toMatchObject([
      {
        kind: 'refuse',
        refusal: {outcome: 'not-run', retryAfterMilliseconds: 700},
      },
    ]);
  });

  /** Returns the actions after both have refused with a retry-after time. */
  function actionsAfterWaits(
    first: number,
    second: number,
  ): readonly EntryAction[] {
    const harness = new EntryHarness(['a', 'b']);
    let actions = harness.receiveCall('at-most-once');
    while (kindsOf(actions).includes('attempt')) {
      const name = upstreamOf(actions);
      const wait = name === 's/a' ? first : second;
      actions = harness.refuseAttempt(name, 'upstream-busy', 'not-run', wait);
    }
    return actions;
  }

  it('are asked again after half of the shorter retry-after time', () => {
    const [action] = actionsAfterWaits(900, 400);
    expect(action).toMatchObject({kind: 'pause', milliseconds: 200});
  });

  it('cause a refusal at once if no slot is expected in the hold time', () => {
    const actions = actionsAfterWaits(3000, 2000);
    expect(refusalOf(actions)).toBe('upstream-busy not-run');
  });

  it('are asked to take the call late if none can take it in time', () => {
    const harness = new EntryHarness(['a']);
    const terms: string[] = [];
    let actions = harness.receiveCall('at-most-once');
    while (kindsOf(actions).includes('attempt')) {
      const [action] = actions;
      terms.push(action?.kind === 'attempt' ? action.attempt.terms : '');
      const isFirst = terms.length === 1;
      const reason = isFirst ? 'upstream-busy' : 'deadline-too-short';
      actions = harness.refuseAttempt('s/a', reason);
    }
    expect(terms).toEqual(['immediate', 'may-wait', 'may-be-late']);
  });

  it('cause a not-run refusal once the hold time has passed', () => {
    const harness = new EntryHarness(['a']);
    let actions = harness.receiveCall('at-most-once');
    for (let i = 0; i < 50 && !kindsOf(actions).includes('refuse'); i += 1) {
      const [action] = actions;
      if (action?.kind === 'pause') {
        harness.now += action.milliseconds;
        actions = harness.handle({kind: 'pause-ended', callId: '1'});
      } else {
        actions = harness.refuseAttempt('s/a', 'upstream-busy');
      }
    }
    expect(refusalOf(actions)).toBe('upstream-busy not-run');
    expect(harness.now).toBeLessThanOrEqual(DEADLINE_MILLISECONDS * 0.4);
  });
});

describe('a call that has not run yet', () => {
  const startTimesOf = (actions: readonly EntryAction[]) =>
    actions.flatMap((action) =>
      action.kind === 'attempt' ? [action.attempt.startBy] : [],
    );

  it('must be started by its guard within the hold time', () => {
    const harness = new EntryHarness(['a', 'b']);
    expect(startTimesOf(harness.receiveCall('at-most-once'))).toEqual([
      DEADLINE_MILLISECONDS * 0.4,
    ]);
  });

  it('has no limit on its start once an upstream has run it', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.receiveCall('repeatable');
    expect(startTimesOf(harness.answerAttempt(500))).toEqual([undefined]);
  });
});

describe('an overdue attempt', () => {
  it('continues alongside its hedge and is used if it is answered first', () => {
    const harness = new EntryHarness(['a', 'b', 'c']);
    const first = upstreamOf(harness.receiveCall('repeatable'));
    const next = harness.handle({kind: 'attempt-overdue', callId: '1'});
    expect(kindsOf(next)).toEqual(['keep-overdue', 'attempt']);
    expect(upstreamOf(next)).not.toBe(first);
    const answered = harness.handle({
      kind: 'overdue-answered',
      callId: '1',
      status: 200,
      hint: undefined,
      ranMilliseconds: 500,
    });
    expect(kindsOf(answered)).toEqual([
      'cancel-attempt',
      'pass-overdue-answer',
    ]);
  });

  it('is cancelled when its hedge is answered first', () => {
    const harness = new EntryHarness(['a', 'b', 'c']);
    harness.receiveCall('repeatable');
    harness.handle({kind: 'attempt-overdue', callId: '1'});
    expect(kindsOf(harness.answerAttempt(200))).toEqual([
      'pass-answer',
      'cancel-overdue',
    ]);
  });

  it('is awaited when its hedge fails, and then the failure is returned', () => {
    const harness = new EntryHarness(['a', 'b', 'c']);
    harness.receiveCall('repeatable');
    const next = upstreamOf(
      harness.handle({kind: 'attempt-overdue', callId: '1'}),
    );
    const failed = harness.refuseAttempt(next, 'upstream-failed', 'unknown');
    expect(failed).toEqual([]);
    const ended = harness.handle({kind: 'overdue-ended', callId: '1'});
    expect(refusalOf(ended)).toBe('upstream-failed unknown');
  });

  it('is not hedged if the call is not repeatable', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.receiveCall('at-most-once');
    expect(harness.handle({kind: 'attempt-overdue', callId: '1'})).toEqual([]);
  });

  it('leaves one run at the most beside it, as the route allows two', () => {
    const harness = new EntryHarness(['a', 'b', 'c', 'd']);
    harness.receiveCall('repeatable');
    harness.handle({kind: 'attempt-overdue', callId: '1'});
    expect(harness.handle({kind: 'attempt-overdue', callId: '1'})).toEqual([]);
    expect(kindsOf(harness.answerAttempt(500))).toEqual([]);
    const ended = harness.handle({kind: 'overdue-ended', callId: '1'});
    expect(kindsOf(ended)).toEqual(['pass-answer']);
  });
});

describe('calls that may be retries by an upstream on this box', () => {
  function retriesAfter(calls: number, areRepeats: boolean): number {
    const harness = new EntryHarness(['a', 'b', 'c']);
    let retries = 0;
    for (let i = 0; i < calls; i += 1) {
      harness.receiveCall('repeatable', areRepeats);
      retries += kindsOf(harness.answerAttempt(500)).includes('attempt')
        ? 1
        : 0;
      harness.answerAttempt(200);
      harness.handle({kind: 'answer-ended', callId: '1'});
    }
    return retries;
  }

  it('are taken out of what the entry itself may repeat', () => {
    // Ten retries in each window plus a fifth of the calls.
    expect(retriesAfter(20, false)).toBe(14);
    expect(retriesAfter(20, true)).toBeLessThan(7);
  });
});

describe('a call that failed on one upstream', () => {
  it('is not used to probe a doubted one', () => {
    for (let i = 0; i < 20; i += 1) {
      const harness = new EntryHarness(['a', 'b', 'c']);
      const first = upstreamOf(harness.receiveCall('repeatable'));
      const others = ['s/a', 's/b', 's/c'].filter((name) => name !== first);
      harness.entry.loads.hintReceived(others[0] ?? '', harness.now, {
        state: 'doubted',
        occupied: 0,
        limit: 4,
        doubtedFor: 2000,
        probeIn: 0,
      });
      expect(upstreamOf(harness.answerAttempt(500))).toBe(others[1]);
    }
  });

  it('is not repeated on a third, though the second failed too', () => {
    const harness = new EntryHarness(['a', 'b', 'c', 'd']);
    harness.receiveCall('repeatable');
    expect(kindsOf(harness.answerAttempt(500))).toEqual(['attempt']);
    expect(kindsOf(harness.answerAttempt(500))).toEqual(['pass-answer']);
  });
});

describe('an upstream that rejects a call', () => {
  it('leaves it to another as a second attempt, though it may run only once', () => {
    const harness = new EntryHarness(['a', 'b']);
    const first = upstreamOf(harness.receiveCall('at-most-once'));
    const actions = harness.refuseAttempt(first, 'upstream-refused');
    expect(actions).toMatchObject([{attempt: {number: 2}}]);
    expect(upstreamOf(actions)).not.toBe(first);
  });
});
