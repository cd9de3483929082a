// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How a node handles the store's answers, and answers that do not arrive. */

import {describe, expect, it} from 'vitest';
import {RECORD_RENEWAL_MILLISECONDS, serializeBoxRecord} from '../boxRecord.js';
import {
  StateMachineHarness,
  IDENTITY,
  LOCAL_PEER_ADDRESS,
  WRITE_SUCCESS,
  kinds,
  otherBoxRecord,
  configurationRecord,
} from './__fixtures__/stateMachineHarness.js';

describe('reading the store', () => {
  it('follows from the end of the newest records', () => {
    const harness = new StateMachineHarness();
    expect(kinds(harness.tick())).toEqual(['read-newest', 'read-newest']);
    harness.completeRead('boxes', []);
    harness.becomeReader();
    const follow = harness
      .completeRead('configuration', [], 42)
      .find(({kind}) => kind === 'follow');
    expect(follow).toMatchObject({
      stream: 'configuration',
      from: {era: 1, offset: 42},
    });
  });

  it('reads the newest record of each key again when the history is gone', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('boxes', []);
    harness.becomeReader();
    harness.completeRead('configuration', [], 42);
    expect(kinds(harness.failRead('configuration', 'history-gone'))).toContain(
      'read-newest',
    );
  });

  it('backs off after each failure, for at most a second and a half', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    for (let i = 0; i < 8; i += 1) {
      expect(kinds(harness.failRead('boxes', 'unavailable'))).not.toContain(
        'read-newest',
      );
      expect(kinds(harness.tick(1500))).toContain('read-newest');
    }
  });

  it.each(['completeRead', 'failRead'] as const)(
    'logs the loss of the boxes once, and its recovery once (%s)',
    (endConfigurationRead) => {
      const harness = new StateMachineHarness();
      harness.tick();
      harness.completeRead('configuration', []);
      const endReads = () => [
        ...harness.failRead('boxes', 'unavailable'),
        ...(endConfigurationRead === 'failRead'
          ? harness.failRead('configuration', 'unavailable')
          : harness.completeRead('configuration', [])),
        ...harness.tick(1900),
      ];
      const logged = [
        ...endReads(),
        ...endReads(),
        ...endReads(),
        ...harness.completeRead('boxes', []),
      ].flatMap((action) =>
        action.kind === 'log-event' ? [action.event] : [],
      );
      expect(logged).toEqual(['store-lost', 'store-regained']);
    },
  );
});

describe('a read that the store does not answer', () => {
  it('is logged with its duration, and followed by a short one within a second', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('boxes', []);
    const actions = [
      harness.tick(600),
      harness.tick(200),
      harness.tick(200),
    ].flat();
    expect(actions).toContainEqual({
      kind: 'log-event',
      event: 'store-read-hung',
      subject: 'configuration',
      detail: {
        milliseconds: 600,
        waitMilliseconds: 0,
        isReaderHeard: false,
      },
    });
    expect(actions).toContainEqual({
      kind: 'read-newest',
      stream: 'configuration',
      read: 2,
    });
  });

  it('is still used when its answer arrives late', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('boxes', []);
    harness.tick(600);
    harness.tick(400);
    const page = {
      records: [configurationRecord(3)],
      end: {era: 1, offset: 1},
      isWhole: true,
    };
    const late = harness.handle({
      kind: 'read-ended',
      stream: 'configuration',
      read: 1,
      result: {ok: true, value: page, era: 1},
    });
    expect(kinds(late)).toContain('configuration-changed');
    expect(harness.stateMachine.readerRole.storeAge(harness.now)).toBe(0);
  });

  it('is detected by the report of a peer, and a second read is started', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('configuration', [configurationRecord(1)]);
    harness.completeRead('boxes', []);
    harness.becomeReader();
    harness.tick(200);
    harness.now += 1000;
    harness.handle({
      kind: 'peer-version-reported',
      address: LOCAL_PEER_ADDRESS,
      version: 2,
    });
    expect(harness.tick(200)).toContainEqual(
      expect.objectContaining({
        kind: 'follow',
        stream: 'configuration',
        waitMilliseconds: 0,
      }),
    );
  });
});

describe('an answer of the store', () => {
  const page = (version: number, era: number) => ({
    kind: 'read-ended' as const,
    stream: 'configuration' as const,
    read: 0,
    result: {
      ok: true as const,
      value: {
        records: [configurationRecord(version)],
        end: {era, offset: 9},
        isWhole: false,
      },
      era,
    },
  });

  it('of a newer era ends all reads, and all is read anew at once', () => {
    const harness = new StateMachineHarness();
    harness.start([configurationRecord(1)]);
    harness.becomeReader();
    harness.tick(200);
    harness.handle(page(2, 1));
    const actions = harness.handle(page(3, 2));
    expect(actions).toContainEqual({
      kind: 'log-event',
      event: 'store-restored',
      subject: '2',
      detail: {before: 1, source: 'configuration'},
    });
    expect(
      actions.flatMap((action) =>
        action.kind === 'read-newest' ? [action.stream] : [],
      ),
    ).toEqual(['configuration', 'boxes']);
    expect(harness.stateMachine.version).toBe(3);
  });

  it('that holds a complete older configuration changes nothing, and is logged', () => {
    const harness = new StateMachineHarness();
    harness.start([configurationRecord(4)]);
    const older = harness.handle({
      kind: 'read-ended',
      stream: 'configuration',
      read: 0,
      result: {
        ok: true,
        value: {
          records: [configurationRecord(3)],
          end: {era: 1, offset: 3},
          isWhole: true,
        },
        era: 1,
      },
    });
    expect(older).toContainEqual({
      kind: 'log-event',
      event: 'configuration-older-in-store',
      subject: '3',
      detail: {version: 4},
    });
    expect(harness.stateMachine.version).toBe(4);
  });

  it('of an earlier era changes nothing, and is noted', () => {
    const harness = new StateMachineHarness();
    harness.start([configurationRecord(1)]);
    harness.handle(page(2, 2));
    const late = harness.handle(page(7, 1));
    expect(late).toContainEqual({
      kind: 'log-event',
      event: 'store-answer-outdated',
      subject: 'configuration',
      detail: {era: 1, known: 2},
    });
    expect(harness.stateMachine.version).toBe(2);
  });

  it('to a write, of an earlier era, causes the record to be written again', () => {
    const harness = new StateMachineHarness();
    harness.start([configurationRecord(1)]);
    harness.announce();
    harness.handle(page(2, 2));
    harness.handle({kind: 'write-ended', result: WRITE_SUCCESS});
    expect(kinds(harness.tick(500))).toContain('write');
  });

  it('that refuses a call also reports a newer era', () => {
    const harness = new StateMachineHarness();
    harness.start([configurationRecord(1)]);
    const failure = {kind: 'unavailable', detail: 'busy'} as const;
    const actions = harness.handle({
      kind: 'write-ended',
      result: {ok: false, failure, era: 5},
    });
    expect(actions).toContainEqual(
      expect.objectContaining({kind: 'log-event', event: 'store-restored'}),
    );
  });
});

describe('the own record', () => {
  it('is written once the upstream has announced itself', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('boxes', []);
    const actions = harness.announce();
    expect(kinds(actions)).toEqual(['upstream-changed', 'write']);
    harness.handle({kind: 'write-ended', result: WRITE_SUCCESS});
    expect(kinds(harness.tick(1000))).not.toContain('write');
  });

  it('is not written again by a restart that changes nothing', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    const before = otherBoxRecord({...IDENTITY, statedAt: 900});
    harness.completeRead('boxes', [
      {key: 'b1', value: serializeBoxRecord(before)},
    ]);
    expect(kinds(harness.announce())).toEqual(['upstream-changed']);
  });

  it('is written again when the answer was lost and the store lacks it', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('boxes', []);
    harness.announce();
    const failure = {kind: 'outcome-unknown', detail: ''} as const;
    harness.handle({
      kind: 'write-ended',
      result: {ok: false, failure, era: undefined},
    });
    expect(kinds(harness.tick(1000))).toContain('write');
  });

  /*
   * The store refuses the write, and the readers send everyone the record that
   * they received from the box itself, the box included. If the box takes that
   * for the store's answer, boxes that start later never learn of it.
   */
  it('is written although peers report it, until the store has accepted it', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('boxes', []);
    harness.announce();
    const failure = {kind: 'unavailable', detail: ''} as const;
    harness.handle({kind: 'write-ended', result: {ok: false, failure}});
    const own = harness.stateMachine.directory.get('b1');
    expect(own).toBeDefined();
    harness.handle({
      kind: 'update-received',
      news: {kind: 'boxes', boxes: own === undefined ? [] : [own]},
    });
    expect(kinds(harness.tick(1000))).toContain('write');
  });

  it('is written again when an older write was applied after a newer one', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('boxes', []);
    harness.announce();
    harness.handle({kind: 'write-ended', result: WRITE_SUCCESS});
    harness.now += 100;
    harness.announce({state: 'draining', sequence: 2});
    harness.handle({kind: 'write-ended', result: WRITE_SUCCESS});
    const late = otherBoxRecord({...IDENTITY, takesWork: true, statedAt: 1000});
    const actions = harness.completeRead('boxes', [
      {key: 'b1', value: serializeBoxRecord(late)},
    ]);
    expect(kinds(actions)).toContain('write');
  });

  it('reports that no work is taken if no upstream announces itself after a restart', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    const before = otherBoxRecord({...IDENTITY, statedAt: 900});
    harness.completeRead('boxes', [
      {key: 'b1', value: serializeBoxRecord(before)},
    ]);
    expect(kinds(harness.tick(5000))).not.toContain('write');
    expect(kinds(harness.tick(2000))).toContain('write');
    expect(harness.stateMachine.directory.get('b1')?.takesWork).toBe(false);
    harness.handle({kind: 'write-ended', result: WRITE_SUCCESS});
    expect(kinds(harness.announce())).toEqual(['upstream-changed', 'write']);
  });

  it('is renewed before it expires', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('boxes', []);
    harness.announce();
    harness.handle({kind: 'write-ended', result: WRITE_SUCCESS});
    expect(kinds(harness.tick(RECORD_RENEWAL_MILLISECONDS + 1))).toContain(
      'write',
    );
  });
});
