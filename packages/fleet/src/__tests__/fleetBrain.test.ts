// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The fleet state machine: configuration, other boxes and own upstream. */

import {describe, expect, it} from 'vitest';
import {seededRandom, success} from '@lockpin/utils';
import {RECORD_RENEWAL_MILLISECONDS, serializeBoxRecord} from '../boxRecord.js';
import {FleetStateMachine} from '../fleetStateMachine.js';
import {
  StateMachineHarness,
  REMOTE_PEER_ADDRESS,
  IDENTITY,
  LOCAL_PEER_ADDRESS,
  configuration,
  kinds,
  otherBoxRecord,
  configurationRecord,
} from './__fixtures__/stateMachineHarness.js';

describe('the own record', () => {
  const near = otherBoxRecord({box: 'b2', peerAddress: LOCAL_PEER_ADDRESS});
  const far = otherBoxRecord({
    box: 'b3',
    peerAddress: REMOTE_PEER_ADDRESS,
    dataCentre: 'd2',
  });
  const others = [near, far].map((record) => ({
    key: record.box,
    value: serializeBoxRecord(record),
  }));

  it('is sent to the readers of all data centres when the upstream is new', () => {
    const harness = new StateMachineHarness();
    harness.start([configurationRecord(1)], others);
    expect(harness.announce()).toContainEqual({
      kind: 'notify-nodes',
      addresses: [LOCAL_PEER_ADDRESS, REMOTE_PEER_ADDRESS],
      news: {
        kind: 'boxes',
        boxes: [expect.objectContaining({box: IDENTITY.box, takesWork: true})],
      },
    });
  });

  it('is not sent when the store holds it already', () => {
    const harness = new StateMachineHarness();
    const stored = otherBoxRecord({...IDENTITY, statedAt: harness.now});
    const own = {key: IDENTITY.box, value: serializeBoxRecord(stored)};
    harness.start([configurationRecord(1)], [...others, own]);
    expect(kinds(harness.announce())).not.toContain('notify-nodes');
  });
});

describe('the configuration in force', () => {
  it('never goes back to an older version', () => {
    const harness = new StateMachineHarness();
    harness.start([configurationRecord(7)]);
    expect(
      kinds(harness.completeRead('configuration', [configurationRecord(5)])),
    ).not.toContain('configuration-changed');
    expect(harness.stateMachine.version).toBe(7);
  });

  it('stays in force when a document is invalid, and the reason is logged', () => {
    const harness = new StateMachineHarness();
    harness.start([configurationRecord(7)]);
    const record = {key: 'config', value: Buffer.from('broken')};
    expect(harness.completeRead('configuration', [record])).toContainEqual(
      expect.objectContaining({
        kind: 'log-event',
        event: 'configuration-wrong',
      }),
    );
    expect(harness.stateMachine.version).toBe(7);
  });

  it('comes into force despite a value that is not known, which is logged', () => {
    const harness = new StateMachineHarness();
    harness.start([configurationRecord(1)]);
    const problem = 'unknown kind odd';
    const warnings = [{field: 'Routes.r.Kind', problem}];
    const actions = harness.handle({
      kind: 'peer-replied',
      address: 'peer',
      reply: {configuration: {...configuration(2), warnings}, boxes: []},
    });
    expect(actions).toMatchObject([
      {kind: 'configuration-changed'},
      {
        kind: 'log-event',
        event: 'configuration-field-unknown',
        subject: 'Routes.r.Kind',
        detail: {version: 2, problem},
      },
    ]);
    expect(harness.stateMachine.version).toBe(2);
  });

  it('is taken from a peer when the store does not answer', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('configuration', [configurationRecord(1)]);
    harness.completeRead('boxes', []);
    harness.becomeReader();
    harness.tick(200);
    harness.failRead('configuration', 'unavailable');
    const [query] = harness.handle({
      kind: 'peer-version-reported',
      address: 'peer',
      version: 2,
    });
    expect(query).toMatchObject({kind: 'query-peer', address: 'peer'});
    const actions = harness.handle({
      kind: 'peer-replied',
      address: 'peer',
      reply: {configuration: configuration(2), boxes: []},
    });
    expect(actions).toMatchObject([{kind: 'configuration-changed'}]);
  });

  it('is left to the store for a moment, then asked for in the own data centre', () => {
    const harness = new StateMachineHarness();
    const near = otherBoxRecord({box: 'b2', peerAddress: LOCAL_PEER_ADDRESS});
    const far = otherBoxRecord({
      box: 'b3',
      peerAddress: REMOTE_PEER_ADDRESS,
      dataCentre: 'd2',
    });
    const records = [near, far].map((record) => ({
      key: record.box,
      value: serializeBoxRecord(record),
    }));
    harness.start([configurationRecord(1)], records);
    harness.becomeReader();
    const report = (address: string) =>
      harness.handle({kind: 'peer-version-reported', address, version: 2});
    expect(report(REMOTE_PEER_ADDRESS)).toEqual([]);
    expect(report(LOCAL_PEER_ADDRESS)).toEqual([]);
    expect(kinds(harness.tick(300))).not.toContain('query-peer');
    expect(harness.tick(100)).toContainEqual(
      expect.objectContaining({
        kind: 'query-peer',
        address: LOCAL_PEER_ADDRESS,
      }),
    );
  });

  it('is queried in another data centre only after local peers could have it', () => {
    const harness = new StateMachineHarness();
    const far = otherBoxRecord({
      box: 'b3',
      peerAddress: REMOTE_PEER_ADDRESS,
      dataCentre: 'd2',
    });
    harness.start(
      [configurationRecord(1)],
      [{key: far.box, value: serializeBoxRecord(far)}],
    );
    harness.becomeReader();
    harness.handle({
      kind: 'peer-version-reported',
      address: REMOTE_PEER_ADDRESS,
      version: 2,
    });
    expect(kinds(harness.tick(400))).not.toContain('query-peer');
    expect(harness.tick(500)).toContainEqual(
      expect.objectContaining({
        kind: 'query-peer',
        address: REMOTE_PEER_ADDRESS,
      }),
    );
  });

  it('is not queried once the store has delivered it', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('boxes', []);
    harness.handle({
      kind: 'peer-version-reported',
      address: REMOTE_PEER_ADDRESS,
      version: 2,
    });
    harness.completeRead('configuration', [configurationRecord(2)]);
    expect(kinds(harness.tick(1000))).not.toContain('query-peer');
  });

  it('is queried from one peer at startup, however many report it', () => {
    const harness = new StateMachineHarness();
    const actions = ['p1', 'p2', 'p3', 'p4'].flatMap((address) =>
      harness.handle({kind: 'peer-version-reported', address, version: 2}),
    );
    expect(kinds(actions)).toEqual(['query-peer']);
  });

  it('is queried again from a peer that did not reply when it reports again', () => {
    const harness = new StateMachineHarness();
    const report = {
      kind: 'peer-version-reported',
      address: 'peer',
      version: 2,
    } as const;
    expect(kinds(harness.handle(report))).toEqual(['query-peer']);
    expect(harness.handle(report)).toEqual([]);
    harness.handle({kind: 'peer-replied', address: 'peer', reply: undefined});
    expect(kinds(harness.handle(report))).toEqual(['query-peer']);
  });

  it('is logged once when it is late, with the first reporter and the query counts', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('configuration', [configurationRecord(1)]);
    harness.completeRead('boxes', []);
    harness.handle({
      kind: 'peer-version-reported',
      address: REMOTE_PEER_ADDRESS,
      version: 2,
    });
    harness.tick(600);
    harness.handle({
      kind: 'peer-version-reported',
      address: LOCAL_PEER_ADDRESS,
      version: 3,
    });
    harness.handle({
      kind: 'peer-replied',
      address: REMOTE_PEER_ADDRESS,
      reply: undefined,
    });
    const logged = [
      harness.tick(200),
      harness.tick(400),
      harness.tick(400),
    ].flatMap((actions) =>
      actions.filter(
        (action) =>
          action.kind === 'log-event' && action.event === 'configuration-late',
      ),
    );
    expect(logged).toEqual([
      {
        kind: 'log-event',
        event: 'configuration-late',
        subject: '3',
        detail: {
          inForce: 1,
          firstTold: REMOTE_PEER_ADDRESS,
          milliseconds: 1200,
          tellers: 2,
          questions: 2,
          unanswered: 1,
        },
      },
    ]);
  });

  /*
   * A peer reports version 2 and is queried, reports 3 before it replies, and
   * replies with 2. No one reports 3 again: if a report is dropped while its
   * sender has a pending query, or when any newer version arrives, the box
   * stays at 2 until the next change.
   */
  it('is queried when it was reported while a query to the reporter was pending', () => {
    const harness = new StateMachineHarness();
    const far = otherBoxRecord({
      box: 'b3',
      peerAddress: REMOTE_PEER_ADDRESS,
      dataCentre: 'd2',
    });
    harness.start(
      [configurationRecord(1)],
      [{key: far.box, value: serializeBoxRecord(far)}],
    );
    harness.becomeReader();
    const report = (version: number) =>
      harness.handle({
        kind: 'peer-version-reported',
        address: REMOTE_PEER_ADDRESS,
        version,
      });
    report(2);
    expect(kinds(harness.tick(1000))).toContain('query-peer');
    report(3);
    harness.handle({
      kind: 'peer-replied',
      address: REMOTE_PEER_ADDRESS,
      reply: {configuration: configuration(2), boxes: []},
    });
    const actions = [harness.tick(500), harness.tick(500)].flat();
    expect(actions).toContainEqual(
      expect.objectContaining({
        kind: 'query-peer',
        address: REMOTE_PEER_ADDRESS,
      }),
    );
  });

  it('is queried again when the query was lost and no other peer has it', () => {
    const harness = new StateMachineHarness();
    const far = otherBoxRecord({
      box: 'b3',
      peerAddress: REMOTE_PEER_ADDRESS,
      dataCentre: 'd2',
    });
    harness.start(
      [configurationRecord(1)],
      [{key: far.box, value: serializeBoxRecord(far)}],
    );
    harness.becomeReader();
    harness.handle({
      kind: 'peer-version-reported',
      address: REMOTE_PEER_ADDRESS,
      version: 2,
    });
    expect(kinds(harness.tick(1000))).toContain('query-peer');
    harness.handle({
      kind: 'peer-replied',
      address: REMOTE_PEER_ADDRESS,
      reply: undefined,
    });
    const actions = [harness.tick(500), harness.tick(500)].flat();
    expect(actions).toContainEqual(
      expect.objectContaining({
        kind: 'query-peer',
        address: REMOTE_PEER_ADDRESS,
      }),
    );
  });

  describe('of a starting node', () => {
    const peer = otherBoxRecord({box: 'b2', peerAddress: LOCAL_PEER_ADDRESS});
    const boxes = [{key: peer.box, value: serializeBoxRecord(peer)}];

    it("is a peer's version if that is newer than the store's", () => {
      const harness = new StateMachineHarness();
      harness.tick();
      harness.completeRead('configuration', [configurationRecord(1)]);
      expect(harness.completeRead('boxes', boxes)).toContainEqual(
        expect.objectContaining({
          kind: 'query-peer',
          address: LOCAL_PEER_ADDRESS,
        }),
      );
      expect(harness.stateMachine.version).toBe(0);
      const actions = harness.handle({
        kind: 'peer-replied',
        address: LOCAL_PEER_ADDRESS,
        reply: {configuration: configuration(2), boxes: []},
      });
      expect(
        actions.flatMap((action) =>
          action.kind === 'configuration-changed'
            ? [action.configuration.version]
            : [],
        ),
      ).toEqual([2]);
    });

    it("is the store's version if no peer replies in time", () => {
      const harness = new StateMachineHarness();
      harness.tick();
      harness.completeRead('configuration', [configurationRecord(1)]);
      harness.completeRead('boxes', boxes);
      harness.tick(300);
      expect(harness.stateMachine.version).toBe(0);
      harness.tick(100);
      expect(harness.stateMachine.version).toBe(1);
    });

    it("is the store's version if the box records cannot be read", () => {
      const harness = new StateMachineHarness();
      harness.tick();
      harness.completeRead('configuration', [configurationRecord(1)]);
      harness.failRead('boxes', 'unavailable');
      expect(harness.stateMachine.version).toBe(0);
      harness.tick(1000);
      expect(harness.stateMachine.version).toBe(1);
    });
  });

  it('is queried from peers without a report while the store is unavailable', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    const record = {key: 'b2', value: serializeBoxRecord(otherBoxRecord())};
    harness.completeRead('boxes', [record]);
    expect(kinds(harness.failRead('configuration', 'unavailable'))).toContain(
      'query-peer',
    );
  });
});

describe('other boxes', () => {
  it('are known by their newest record, in any order of arrival', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    const newer = otherBoxRecord({takesWork: false, statedAt: 20});
    harness.completeRead('boxes', [
      {key: 'b2', value: serializeBoxRecord(newer)},
      {key: 'b2', value: serializeBoxRecord(otherBoxRecord())},
    ]);
    expect(harness.stateMachine.directory.get('b2')?.takesWork).toBe(false);
  });

  it('expire when they do not renew their records', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('boxes', [
      {key: 'b2', value: serializeBoxRecord(otherBoxRecord())},
    ]);
    harness.tick(3 * RECORD_RENEWAL_MILLISECONDS + 2000);
    expect(harness.stateMachine.directory.get('b2')).toBeUndefined();
  });

  it('are deleted from the store by one node only when they expire', () => {
    const deletions = ['b1', 'b3', 'b4'].map((box) => {
      const stateMachine = new FleetStateMachine({...IDENTITY, box}, () =>
        success(undefined),
      );
      const renewedAt = 3 * RECORD_RENEWAL_MILLISECONDS;
      stateMachine.directory.put(otherBoxRecord());
      for (const peer of ['b1', 'b3', 'b4']) {
        stateMachine.directory.put(
          otherBoxRecord({box: peer, statedAt: renewedAt}),
        );
      }
      const event = {kind: 'tick'} as const;
      return stateMachine
        .handle(renewedAt + 2000, seededRandom(3), event)
        .filter(({kind}) => kind === 'delete-record');
    });
    expect(deletions.flat()).toEqual([{kind: 'delete-record', key: 'b2'}]);
  });

  it('are not added from a malformed record', () => {
    const harness = new StateMachineHarness();
    harness.tick();
    harness.completeRead('boxes', [
      {key: 'b3', value: Buffer.from('{"box":1}')},
    ]);
    harness.completeRead('boxes', [{key: 'b3', value: Buffer.from('no json')}]);
    expect(harness.stateMachine.directory.size).toBe(0);
  });

  it('include the sender of a query', () => {
    const harness = new StateMachineHarness();
    const peerReply = harness.stateMachine.answer(harness.now, {
      version: 0,
      boxesDigest: 0,
      own: otherBoxRecord(),
    });
    expect(peerReply.boxes.map(({box}) => box)).toEqual(['b2']);
  });

  it('are sent only to a peer whose digest differs', () => {
    const [one, same] = [new StateMachineHarness(), new StateMachineHarness()];
    const [b2, b3] = [
      otherBoxRecord(),
      otherBoxRecord({box: 'b3', statedAt: 20}),
    ];
    [b2, b3].forEach((record) => one.stateMachine.directory.put(record));
    [b3, otherBoxRecord({statedAt: 5}), b2].forEach((record) =>
      same.stateMachine.directory.put(record),
    );
    const boxesDigest = same.stateMachine.directory.digest;
    const peerQuery = {version: 0, boxesDigest, own: undefined};
    expect(one.stateMachine.answer(one.now, peerQuery).boxes).toEqual([]);
    one.stateMachine.directory.put(otherBoxRecord({statedAt: 30}));
    expect(one.stateMachine.answer(one.now, peerQuery).boxes).toHaveLength(2);
    const withoutDigest = {...peerQuery, boxesDigest: undefined};
    expect(one.stateMachine.answer(one.now, withoutDigest).boxes).toEqual([]);
  });

  it('are removed from the digest when they expire', () => {
    const harness = new StateMachineHarness();
    const before = harness.stateMachine.directory.digest;
    harness.stateMachine.directory.put(otherBoxRecord());
    expect(harness.stateMachine.directory.digest).not.toBe(before);
    harness.stateMachine.directory.expire(10 ** 9);
    expect(harness.stateMachine.directory.digest).toBe(before);
    expect(harness.stateMachine.directory.dataCentreAt('10.0.0.2:7000')).toBe(
      undefined,
    );
  });
});

describe('the own upstream', () => {
  it('never takes work again after it announced that it drains', () => {
    const harness = new StateMachineHarness();
    harness.announce();
    harness.announce({state: 'draining', sequence: 2});
    harness.announce({sequence: 3});
    expect(harness.stateMachine.own.upstream?.takesWork).toBe(false);
  });

  it('is not revived by a late announcement after it left', () => {
    const harness = new StateMachineHarness();
    harness.announce();
    harness.announce({state: 'gone', sequence: 0});
    expect(harness.announce({sequence: 9})).toEqual([]);
    expect(harness.stateMachine.own.upstream?.takesWork).toBe(false);
  });

  it('is replaced by a new lifetime, and a late word of the old one is ignored', () => {
    const harness = new StateMachineHarness();
    harness.announce();
    harness.announce({incarnation: {id: 'i-2', startedAt: 0}, sequence: 1});
    harness.announce({sequence: 5});
    expect(harness.stateMachine.own.upstream?.incarnation.id).toBe('i-2');
  });
});
