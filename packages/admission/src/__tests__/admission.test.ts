// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Admission control, fair queueing and customer shares. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {Admission} from '../admission.js';
import {CustomerShares} from '../customerShares.js';
import {FairQueue} from '../fairQueue.js';
import type {WaitingCall} from '../waitingCall.js';

function waiting(id: string, change: Partial<WaitingCall> = {}): WaitingCall {
  return {
    id,
    customer: 'c',
    weight: 1,
    priority: 5,
    deadline: 100_000,
    ...change,
  };
}

describe('Admission: the limit of running calls', () => {
  it('is lowered once by calls that started under the same limit', () => {
    const admission = new Admission(10, false);
    const ids = ['1', '2', '3'];
    ids.forEach((id) => admission.offer(0, waiting(id)));
    ids.forEach((id, i) => admission.shed(100 + i, id));
    expect(admission.currentLimit).toBe(7);
    admission.offer(200, waiting('4'));
    admission.shed(300, '4');
    expect(admission.currentLimit).toBe(4);
  });
});

describe('Admission: expected wait', () => {
  it('uses the expected duration of the call', () => {
    const admission = new Admission(1, false);
    admission.offer(0, waiting('long'));
    admission.finish(500, 'long', 2000);
    admission.offer(500, waiting('running', {expectedMilliseconds: 400}));
    const useful = {deadline: 5000, usefulUntil: 900};
    const short = waiting('short', {...useful, expectedMilliseconds: 100});
    expect(admission.offer(500, short).kind).toBe('queued');
    const long = waiting('long too', {...useful, expectedMilliseconds: 390});
    expect(admission.offer(500, long)).toMatchObject({
      reason: 'deadline-too-short',
    });
  });

  it('does not count a call without an expected duration as stuck', () => {
    const admission = new Admission(1, false);
    admission.offer(0, waiting('1'));
    expect(admission.offer(5000, waiting('2')).kind).toBe('queued');
  });

  it('does not count on slots of calls that may never end', () => {
    const admission = new Admission(2, false);
    const kind = {expectedMilliseconds: 100};
    admission.offer(0, waiting('1', kind));
    admission.offer(0, waiting('2', kind));
    expect(admission.offer(300, waiting('3', kind)).kind).toBe('queued');
    expect(admission.offer(401, waiting('4', kind))).toMatchObject({
      kind: 'refused',
      reason: 'deadline-too-short',
      retryAfterMilliseconds: 500,
    });
  });
});

describe('Admission', () => {
  it('never runs more than the slots and starts every call at most once', () => {
    const step = fc.record({
      kind: fc.constantFrom('offer', 'finish', 'withdraw', 'tick'),
      n: fc.nat({max: 30}),
      priority: fc.nat({max: 3}),
      customer: fc.constantFrom('a', 'b', 'c'),
      wait: fc.constantFrom(5, 50, 5000),
    });
    fc.assert(
      fc.property(fc.array(step, {maxLength: 200}), (steps) => {
        const admission = new Admission(3, false);
        const running = new Set<string>();
        const started = new Set<string>();
        const gone = new Set<string>();
        let now = 0;
        const start = (id: string): void => {
          expect(started.has(id)).toBe(false);
          expect(gone.has(id)).toBe(false);
          started.add(id);
          running.add(id);
        };
        steps.forEach(({kind, n, priority, customer, wait}, i) => {
          now += 3;
          if (kind === 'offer') {
            const id = `call-${i}`;
            const call = waiting(id, {
              priority,
              customer,
              deadline: now + wait,
            });
            const offer = admission.offer(now, call);
            if (offer.kind === 'start') {
              start(id);
            } else if (offer.kind === 'refused') {
              gone.add(id);
            } else if (offer.displaced !== undefined) {
              gone.add(offer.displaced.id);
            }
          } else if (kind === 'finish' && running.size > 0) {
            const id = [...running][n % running.size] as string;
            running.delete(id);
            const freed = admission.finish(now, id, 10);
            freed.expired.forEach((call) => gone.add(call.id));
            freed.started.forEach((call) => start(call.id));
          } else if (kind === 'withdraw') {
            const id = `call-${n}`;
            if (admission.withdraw(id)) {
              expect(started.has(id)).toBe(false);
              gone.add(id);
            }
          } else {
            const freed = admission.expireAndStart(now);
            freed.expired.forEach((call) => gone.add(call.id));
            freed.started.forEach((call) => start(call.id));
          }
          expect(running.size).toBeLessThanOrEqual(3);
          expect(admission.runningCount).toBe(running.size);
        });
      }),
      {numRuns: 500, seed: 2},
    );
  });

  it('starts urgent calls first and lets them displace the least urgent', () => {
    const admission = new Admission(1, false);
    admission.offer(0, waiting('running'));
    for (let i = 0; i < 8; i += 1) {
      admission.offer(0, waiting(`patient-${i}`, {priority: 9}));
    }
    const offer = admission.offer(0, waiting('urgent', {priority: 0}));
    expect(offer).toMatchObject({kind: 'queued', displaced: {priority: 9}});
    const {started} = admission.finish(1, 'running', 1);
    expect(started.map(({id}) => id)).toEqual(['urgent']);
  });

  it('displaces calls of a flooding customer for one with few calls', () => {
    const admission = new Admission(1, false);
    admission.offer(0, waiting('running', {customer: 'flood'}));
    for (let i = 0; i < 20; i += 1) {
      admission.offer(0, waiting(`flood-${i}`, {customer: 'flood'}));
    }
    const quiet = admission.offer(0, waiting('quiet', {customer: 'quiet'}));
    expect(quiet).toMatchObject({
      kind: 'queued',
      displaced: {customer: 'flood'},
    });
    const first = admission.finish(1, 'running', 1).started;
    const second = admission.finish(2, first[0]?.id ?? '', 1).started;
    const served = [...first, ...second].map(({id}) => id);
    expect(served).toContain('quiet');
  });

  it('refuses a call that cannot meet its deadline', () => {
    const admission = new Admission(1, false);
    admission.offer(0, waiting('running'));
    const offer = admission.offer(0, waiting('late', {deadline: 5}));
    expect(offer).toMatchObject({
      kind: 'refused',
      reason: 'deadline-too-short',
    });
  });
});

describe('Admission: startBy', () => {
  const FULL = waiting('full');

  it('refuses a call when no slot is expected to be free by then', () => {
    const admission = new Admission(1, false);
    admission.offer(0, FULL);
    const late = waiting('late', {startBy: 5});
    expect(admission.offer(0, late)).toMatchObject({
      kind: 'refused',
      reason: 'deadline-too-short',
    });
  });

  it('expires a queued call when that time has passed', () => {
    const admission = new Admission(1, false);
    admission.offer(0, FULL);
    const call = waiting('call', {startBy: 300});
    expect(admission.offer(0, call).kind).toBe('queued');
    expect(admission.expireAndStart(300).expired).toEqual([]);
    expect(admission.expireAndStart(301).expired).toEqual([call]);
  });

  it('starts a call that arrives later when a slot is free', () => {
    const admission = new Admission(1, false);
    expect(admission.offer(10, waiting('call', {startBy: 5})).kind).toBe(
      'start',
    );
  });
});

describe('FairQueue', () => {
  it('serves customers by weight, however many calls each has', () => {
    const queue = new FairQueue();
    for (let i = 0; i < 40; i += 1) {
      queue.add(waiting(`flood-${i}`, {customer: 'flood'}));
    }
    for (let i = 0; i < 10; i += 1) {
      queue.add(waiting(`a-${i}`, {customer: 'a'}));
      queue.add(waiting(`b-${i}`, {customer: 'b', weight: 2}));
    }
    const first = Array.from({length: 16}, () => queue.take()?.customer);
    const of = (customer: string): number =>
      first.filter((name) => name === customer).length;
    expect(of('b')).toBe(8);
    expect(of('a')).toBe(4);
    expect(of('flood')).toBe(4);
  });
});

describe('CustomerShares', () => {
  it('reserves capacity for others once half of it is used', () => {
    const shares = new CustomerShares({calls: 100, bytes: 1000});
    let taken = 0;
    while (shares.take('flood', 1)) {
      taken += 1;
    }
    expect(taken).toBe(50);
    expect(shares.take('other', 1)).toBe(true);
  });
});
