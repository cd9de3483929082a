// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Where an entry offers calls when it knows the capacity of upstreams. */

import type {ServiceView} from '@lockpin/configuration';
import {UNLIMITED_RETRIES} from '@lockpin/routing';
import type {CapacityRow} from '@lockpin/routing';
import type {RefusalReason, Resource} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import {describe, expect, it} from 'vitest';
import type {Attempt, EntryAction, EntryCall} from '../entry/entryMessages.js';
import {DEFAULT_ENTRY_SETTINGS} from '../entry/entrySettings.js';
import type {EntrySettings} from '../entry/entrySettings.js';
import {EntryStateMachine} from '../entry/entryStateMachine.js';
import {ReturnTimes} from '../entry/returnTimes.js';

const NOW = 10_000;
const FREE = {occupied: 0, limit: 4, age: 0};
const FULL = {occupied: 4, limit: 4, slotIn: 200, age: 0};
const HOPELESS = {occupied: 30, limit: 4, slotIn: 5000, age: 0};

const ROUTE: Resource<'Route'> = {
  kind: 'Route',
  name: 'r',
  version: 1,
  spec: {
    method: '*',
    pathPrefix: '/',
    repetition: 'at-most-once',
    waitMilliseconds: 4000,
    goalMilliseconds: 2000,
    priority: 1,
    retryShare: 0,
    onceKeyHeader: '',
  },
};

/** Upstreams by name; those that begin with f are in another data centre. */
function createView(names: readonly string[]): ServiceView {
  return {
    name: 's',
    customer: 's',
    routes: [],
    service: {} as ServiceView['service'],
    upstreams: names.map((name) => ({
      kind: 'Upstream',
      name: `s/${name}`,
      version: 1,
      spec: {
        address: '',
        dataCentre: name.startsWith('f') ? 'far' : 'near',
        box: name,
        slots: 4,
        connections: 4,
        state: 'in-service',
      },
    })),
  };
}

class EntryHarness {
  readonly entry: EntryStateMachine;
  private readonly random = seededRandom(1);
  private readonly view: ServiceView;
  private serial = 0;

  constructor(names: readonly string[], settings: Partial<EntrySettings> = {}) {
    this.view = createView(names);
    this.entry = new EntryStateMachine(
      'own',
      'near',
      {isUsable: () => true, incarnation: () => undefined},
      {
        ...DEFAULT_ENTRY_SETTINGS,
        initialTerms: 'immediate',
        plansOffers: true,
        freeRerouteRefusals: new Set(['upstream-busy', 'deadline-too-short']),
        ...settings,
      },
    );
  }

  knows(capacity: Readonly<Record<string, Omit<CapacityRow, 'box'>>>): void {
    const rows = Object.entries(capacity).map(([box, row]) => ({box, ...row}));
    this.entry.loads.capacity.rowsReceived('s', NOW, rows);
  }

  arrive(call: Partial<EntryCall> = {}): readonly EntryAction[] {
    this.serial += 1;
    return this.entry.handle(NOW, this.random, {
      kind: 'call-arrived',
      call: {
        id: String(this.serial),
        view: this.view,
        route: ROUTE,
        customer: 'c',
        requestDigest: '',
        bytes: 0,
        deadline: NOW + 4000,
        onceKey: undefined,
        isFirstWithKey: false,
        isReplayable: true,
        isCallersRetry: false,
        ...call,
      },
    });
  }

  /** The node of an upstream announces that it is stopping. */
  isStopping(name: string, fallbackFor: number): void {
    const hint = {
      state: 'draining',
      occupied: 0,
      limit: 4,
      fallbackFor,
    } as const;
    this.entry.loads.hintReceived(`s/${name}`, NOW, hint);
  }

  /** The guards of upstreams have announced that these are doubted. */
  isDoubted(names: readonly string[], age: number): void {
    for (const name of names) {
      this.entry.loads.hintReceived(`s/${name}`, NOW - age, {
        state: 'doubted',
        occupied: 0,
        limit: 4,
        doubtedFor: 4000,
      });
    }
  }

  unacknowledged({callId}: Attempt, after: number): readonly EntryAction[] {
    return this.entry.handle(NOW + after, this.random, {
      kind: 'attempt-unacknowledged',
      callId,
    });
  }

  refuse(
    {callId, upstream = ''}: Attempt,
    reason: RefusalReason,
  ): readonly EntryAction[] {
    return this.entry.handle(NOW, this.random, {
      kind: 'attempt-refused',
      callId,
      refusal: {reason, outcome: 'not-run', retryAfterMilliseconds: 5000},
      upstream,
      hint: undefined,
    });
  }
}

function attemptOf(actions: readonly EntryAction[]): Attempt {
  const [action] = actions;
  if (action?.kind !== 'attempt') {
    throw new Error(`no attempt but ${action?.kind}`);
  }
  return action.attempt;
}

const offered = (actions: readonly EntryAction[]): string => {
  const {upstream, terms} = attemptOf(actions);
  return `${upstream} ${terms}`;
};

describe('the first offer of a call', () => {
  it('goes to an upstream of which another box has told a free slot', () => {
    const harness = new EntryHarness(['a', 'b', 'c']);
    harness.knows({a: FULL, b: FREE, c: FULL});
    expect(offered(harness.arrive())).toBe('s/b immediate');
  });

  it('asks for the shortest queue at once if all are full', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.knows({a: {...FULL, occupied: 9, slotIn: 1200}, b: FULL});
    expect(offered(harness.arrive())).toBe('s/b may-wait');
  });

  it('asks for no queue whose wait does not meet the goal', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.knows({a: HOPELESS, b: {...FULL, occupied: 8, slotIn: 1900}});
    expect(offered(harness.arrive())).toBe('s/b may-wait');
  });

  it('leaves the data centre only for free slots that it lacks', () => {
    const harness = new EntryHarness(['a', 'f']);
    harness.knows({a: {...FREE, occupied: 3}, f: FREE});
    expect(offered(harness.arrive())).toBe('s/a immediate');
    harness.knows({a: FULL, f: FREE});
    expect(offered(harness.arrive())).toBe('s/f immediate');
    harness.knows({a: FULL, f: {...FULL, occupied: 4, slotIn: 100}});
    expect(offered(harness.arrive())).toBe('s/a may-wait');
  });

  it('does not count twice on a slot that it has just asked for', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.knows({a: {...FREE, occupied: 3}, b: FULL});
    expect(offered(harness.arrive())).toBe('s/a immediate');
    expect(offered(harness.arrive())).toMatch(/may-wait/);
  });
});

describe('an upstream whose node is stopping', () => {
  const STILL = 1500;

  it('gets no call while another has a free slot', () => {
    const harness = new EntryHarness(['a', 'b', 'f']);
    harness.knows({b: FULL, f: FREE});
    harness.isStopping('a', STILL);
    expect(offered(harness.arrive())).toBe('s/f immediate');
  });

  it('gets a call that would have to wait elsewhere', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.knows({b: FULL});
    harness.isStopping('a', STILL);
    expect(offered(harness.arrive())).toBe('s/a immediate');
  });

  it('gets a call that would be refused', () => {
    const harness = new EntryHarness(['a']);
    harness.isStopping('a', STILL);
    expect(offered(harness.arrive())).toBe('s/a immediate');
  });

  it('gets no call that it no longer takes', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.knows({b: FULL});
    harness.isStopping('a', 0);
    expect(offered(harness.arrive())).toBe('s/b may-wait');
  });

  it('gets no second offer of a call that waits for a slot', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.knows({b: FULL});
    harness.isStopping('a', STILL);
    const first = attemptOf(harness.arrive());
    expect(offered(harness.refuse(first, 'upstream-busy'))).toBe(
      's/b may-wait',
    );
  });
});

describe('a call that no queue starts in time', () => {
  const refusedLike = (change: Partial<EntryCall>): EntryHarness => {
    const harness = new EntryHarness(['a', 'b']);
    harness.knows({a: HOPELESS, b: HOPELESS});
    harness.refuse(attemptOf(harness.arrive(change)), 'deadline-too-short');
    return harness;
  };

  it('is refused after one offer, and the next one like it without any', () => {
    const harness = new EntryHarness(['a', 'b']);
    harness.knows({a: HOPELESS, b: HOPELESS});
    const first = attemptOf(harness.arrive());
    const [refused] = harness.refuse(first, 'deadline-too-short');
    expect(refused?.kind).toBe('refuse');
    expect(harness.arrive()[0]).toMatchObject({
      kind: 'refuse',
      refusal: {reason: 'deadline-too-short', outcome: 'not-run'},
    });
  });

  it('does not keep more urgent calls or other customers from being offered', () => {
    const harness = refusedLike({priority: 5});
    expect(harness.arrive({priority: 6})[0]?.kind).toBe('refuse');
    expect(harness.arrive({priority: 4})[0]?.kind).toBe('attempt');
    expect(harness.arrive({priority: 6, customer: 'd'})[0]?.kind).toBe(
      'attempt',
    );
  });
});

describe('a retry', () => {
  const FUNDED: Partial<EntrySettings> = {
    fundsRetries: true,
    createRetryBudget: () => UNLIMITED_RETRIES,
  };

  /** A call whose first upstream rejected it; only that one had a free slot. */
  const rejectedBy = (
    capacity: Readonly<Record<string, Omit<CapacityRow, 'box'>>>,
  ): readonly EntryAction[] => {
    const harness = new EntryHarness(['a', 'b', 'c', 'd'], FUNDED);
    harness.knows({a: FREE, b: FULL, c: FULL, d: FULL});
    const first = attemptOf(harness.arrive());
    harness.knows(capacity);
    return harness.refuse(first, 'upstream-refused');
  };

  it('goes to an upstream whose guard has retries left, even if others have more slots', () => {
    const actions = rejectedBy({
      b: {...FREE, retriesLeft: 0},
      c: {...FREE, occupied: 3, retriesLeft: 1},
      d: {...FREE, retriesLeft: 0},
    });
    expect(attemptOf(actions)).toMatchObject({upstream: 's/c', number: 2});
  });

  it('is not offered when the guards that are known have none left', () => {
    const none = {...FREE, retriesLeft: 0};
    expect(rejectedBy({a: none, b: none, c: none, d: none})[0]).toMatchObject({
      kind: 'refuse',
      refusal: {reason: 'retries-exhausted', outcome: 'not-run'},
    });
  });

  it('is still offered where nothing is known of retries, but not where it was rejected', () => {
    const actions = rejectedBy({
      a: {...FREE, retriesLeft: 9},
      b: {...FREE, retriesLeft: 0},
    });
    expect(attemptOf(actions).upstream).toMatch(/s\/[cd]/);
  });
});

describe('a call that would be refused', () => {
  const withDoubted = (age: number): EntryHarness => {
    const harness = new EntryHarness(['a', 'b', 'c', 'd', 'e', 'f', 'g'], {
      freeRerouteRefusals: new Set(['deadline-too-short', 'upstream-doubted']),
    });
    harness.isDoubted(['a', 'b', 'c'], age);
    harness.knows({d: HOPELESS, e: HOPELESS, f: HOPELESS, g: HOPELESS});
    return harness;
  };

  it('is offered to two doubted upstreams as a trial', () => {
    const harness = withDoubted(500);
    const first = attemptOf(harness.arrive());
    expect(first.terms).toBe('may-wait');
    let trial = attemptOf(harness.refuse(first, 'deadline-too-short'));
    expect(trial).toMatchObject({
      upstream: expect.stringMatching(/s\/[abc]/),
      terms: 'trial',
    });
    trial = attemptOf(harness.refuse(trial, 'upstream-doubted'));
    expect(trial).toMatchObject({
      upstream: expect.stringMatching(/s\/[abc]/),
      terms: 'trial',
    });
    expect(harness.refuse(trial, 'upstream-doubted')).toMatchObject([
      {kind: 'refuse', refusal: {reason: 'deadline-too-short'}},
    ]);
  });

  it('gets no trial where doubt has just been announced', () => {
    const harness = withDoubted(499);
    const first = attemptOf(harness.arrive());
    expect(harness.refuse(first, 'deadline-too-short')).toMatchObject([
      {kind: 'refuse', refusal: {reason: 'deadline-too-short'}},
    ]);
  });

  it('gets no trial while another upstream has a place for it', () => {
    const harness = withDoubted(500);
    harness.knows({g: FULL});
    expect(offered(harness.arrive())).toBe('s/g may-wait');
  });
});

describe('a service most of whose upstreams are doubted', () => {
  it('gets calls that the others cannot serve, instead of refusing them', () => {
    const harness = new EntryHarness(['a', 'b', 'c']);
    harness.isDoubted(['b', 'c'], 0);
    harness.knows({a: HOPELESS});
    const first = attemptOf(harness.arrive());
    const next = attemptOf(harness.refuse(first, 'deadline-too-short'));
    expect(next.upstream).toMatch(/s\/[bc]/);
    expect(next.terms).toBe('last-resort');
  });
});

describe('a call that is held', () => {
  const HELD: Partial<EntrySettings> = {
    boundsHolding: true,
    heldShare: 0.45,
    heldGoalShare: 0.25,
    pauseMilliseconds: 30,
  };

  it('is refused instead of pausing when no upstream has a place for it', () => {
    const harness = new EntryHarness(['a'], HELD);
    harness.knows({a: HOPELESS});
    const offer = attemptOf(harness.arrive());
    expect(harness.refuse(offer, 'queue-full')[0]?.kind).toBe('refuse');
  });

  it('still pauses while its upstreams are doubted, for a quarter of its goal', () => {
    const doubted = new EntryHarness(['a'], {
      ...HELD,
      freeRerouteRefusals: new Set<RefusalReason>(['upstream-doubted']),
      maximumReroutes: 0,
    });
    const offer = attemptOf(doubted.arrive());
    expect(doubted.refuse(offer, 'upstream-doubted')[0]?.kind).toBe('pause');
  });

  // Guards against calls that are refused because of silent guards though other
  // upstreams are free, and against calls that are held when it is too late.
  it('goes to further guards without a reply while it can be in time', () => {
    const harness = new EntryHarness(['a', 'b', 'c'], HELD);
    const first = attemptOf(harness.arrive({deadline: NOW + 6000}));
    const [, second] = harness.unacknowledged(first, 1999);
    expect(second?.kind).toBe('attempt');
    const [, last] = harness.unacknowledged(
      attemptOf(second === undefined ? [] : [second]),
      2000,
    );
    expect(last?.kind).toBe('refuse');
  });

  it('leaves its caller time to try again', () => {
    const harness = new EntryHarness(['a', 'b', 'c'], HELD);
    const first = attemptOf(harness.arrive({deadline: NOW + 4000}));
    const [, second] = harness.unacknowledged(first, 1800);
    expect(second?.kind).toBe('refuse');
  });

  // Guards against refusals after a single guard that does not respond, which
  // took longer to find out than a quarter of the goal.
  it('goes to a third guard if the first two are silent, however short its goal', () => {
    const harness = new EntryHarness(['a', 'b', 'c'], HELD);
    const spec = {...ROUTE.spec, goalMilliseconds: 250, waitMilliseconds: 1500};
    const route = {...ROUTE, spec};
    let offer = attemptOf(harness.arrive({route, deadline: NOW + 1500}));
    for (const after of [80, 240]) {
      const [, next] = harness.unacknowledged(offer, after);
      offer = attemptOf(next === undefined ? [] : [next]);
    }
    expect(harness.unacknowledged(offer, 560)[1]?.kind).toBe('refuse');
  });
});

describe('the time after which a refused call may come back', () => {
  const call = {deadline: NOW + 6000, view: {name: 's'}} as EntryCall;
  const timesAfter = (refused: number): readonly number[] => {
    const times = new ReturnTimes();
    const random = seededRandom(1);
    times.completed(NOW, 's');
    Array.from({length: refused}, () => times.refused(NOW, 's'));
    return Array.from({length: 100}, () =>
      times.after(NOW, random, {call}, 300),
    );
  };

  it('is the known wait, spread by the calls refused in the last second', () => {
    const [few, many] = [timesAfter(1), timesAfter(1000)];
    expect(Math.min(...few, ...many)).toBeGreaterThanOrEqual(300);
    expect(Math.max(...few)).toBeLessThanOrEqual(1300);
    expect(Math.max(...many)).toBeGreaterThan(1900);
  });

  it('ends within the third of its time in which callers come back', () => {
    expect(Math.max(...timesAfter(1000))).toBeLessThanOrEqual(2000);
  });
});
