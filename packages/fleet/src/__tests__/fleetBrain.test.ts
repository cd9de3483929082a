// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The fleet state machine: configuration, other boxes and own upstream. */

import {describe, expect, it} from 'vitest';
import {seededRandom, success} from '@lockpin/utils';
import {RECORD_RENEWAL_MILLISECONDS, serializeBoxRecord} from '../boxRecord.js';
import {FleetStateMachine} from '../fleetStateMachine.js';
import {
  BrainWorld,
  FAR,
  IDENTITY,
  NEAR,
  configuration,
  kinds,
  other,
  stored,
} from './__fixtures__/brainWorld.js';

describe('the configuration in force', () => {
  it('never goes back to an older version', () => {
    const harness = new BrainWorld();
    harness.start([stored(7)]);
    expect(kinds(harness.read('configuration', [stored(5)]))).not.toContain(
      'configuration-changed',
    );
    expect(harness.brain.version).toBe(7);
  });

  it('stays in force when a document is invalid, and the reason is logged', () => {
    const harness = new BrainWorld();
    harness.start([stored(7)]);
    const record = {key: 'config', value: Buffer.from('broken')};
    expect(harness.read('configuration', [record])).toContainEqual(
      expect.objectContaining({
        kind: 'log-event',
        event: 'configuration-wrong',
      }),
    );
    expect(harness.brain.version).toBe(7);
  });

  it('is taken from a peer when the store does not answer', () => {
    const harness = new BrainWorld();
    harness.tick();
    harness.read('configuration', [stored(1)]);
    harness.read('boxes', []);
    harness.announceAsReader();
    harness.tick(200);
    harness.fail('configuration', 'unavailable');
    const [query] = harness.tell({
      kind: 'peer-version-reported',
      address: 'peer',
      version: 2,
    });
    expect(query).toMatchObject({kind: 'query-peer', address: 'peer'});
    const actions = harness.tell({
      kind: 'peer-replied',
      address: 'peer',
      reply: {configuration: configuration(2), boxes: []},
    });
    expect(actions).toMatchObject([{kind: 'configuration-changed'}]);
  });

  it('is left to the store for a moment, then asked for in the own data centre', () => {
    const harness = new BrainWorld();
    const near = other({box: 'b2', peerAddress: NEAR});
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    const records = [near, far].map((record) => ({
      key: record.box,
      value: serializeBoxRecord(record),
    }));
    harness.start([stored(1)], records);
    harness.announceAsReader();
    const report = (address: string) =>
      harness.tell({kind: 'peer-version-reported', address, version: 2});
    expect(report(FAR)).toEqual([]);
    expect(report(NEAR)).toEqual([]);
    expect(kinds(harness.tick(300))).not.toContain('query-peer');
    expect(harness.tick(100)).toContainEqual(
      expect.objectContaining({kind: 'query-peer', address: NEAR}),
    );
  });

  it('is queried in another data centre only after local peers could have it', () => {
    const harness = new BrainWorld();
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    harness.start(
      [stored(1)],
      [{key: far.box, value: serializeBoxRecord(far)}],
    );
    harness.announceAsReader();
    harness.tell({kind: 'peer-version-reported', address: FAR, version: 2});
    expect(kinds(harness.tick(400))).not.toContain('query-peer');
    expect(harness.tick(500)).toContainEqual(
      expect.objectContaining({kind: 'query-peer', address: FAR}),
    );
  });

  it('is not queried once the store has delivered it', () => {
    const harness = new BrainWorld();
    harness.tick();
    harness.read('boxes', []);
    harness.tell({kind: 'peer-version-reported', address: FAR, version: 2});
    harness.read('configuration', [stored(2)]);
    expect(kinds(harness.tick(1000))).not.toContain('query-peer');
  });

  it('is queried from one peer at startup, however many report it', () => {
    const harness = new BrainWorld();
    const actions = ['p1', 'p2', 'p3', 'p4'].flatMap((address) =>
      harness.tell({kind: 'peer-version-reported', address, version: 2}),
    );
    expect(kinds(actions)).toEqual(['query-peer']);
  });

  it('is queried again from a peer that did not reply when it reports again', () => {
    const harness = new BrainWorld();
    const report = {
      kind: 'peer-version-reported',
      address: 'peer',
      version: 2,
    } as const;
    expect(kinds(harness.tell(report))).toEqual(['query-peer']);
    expect(harness.tell(report)).toEqual([]);
    harness.tell({kind: 'peer-replied', address: 'peer', reply: undefined});
    expect(kinds(harness.tell(report))).toEqual(['query-peer']);
  });

  it('is logged once when it is late, with the first reporter and the query counts', () => {
    const harness = new BrainWorld();
    harness.tick();
    harness.read('configuration', [stored(1)]);
    harness.read('boxes', []);
    harness.tell({kind: 'peer-version-reported', address: FAR, version: 2});
    harness.tick(600);
    harness.tell({kind: 'peer-version-reported', address: NEAR, version: 3});
    harness.tell({kind: 'peer-replied', address: FAR, reply: undefined});
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
          firstTold: FAR,
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
    const harness = new BrainWorld();
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    harness.start(
      [stored(1)],
      [{key: far.box, value: serializeBoxRecord(far)}],
    );
    harness.announceAsReader();
    const report = (version: number) =>
      harness.tell({kind: 'peer-version-reported', address: FAR, version});
    report(2);
    expect(kinds(harness.tick(1000))).toContain('query-peer');
    report(3);
    harness.tell({
      kind: 'peer-replied',
      address: FAR,
      reply: {configuration: configuration(2), boxes: []},
    });
    const actions = [harness.tick(500), harness.tick(500)].flat();
    expect(actions).toContainEqual(
      expect.objectContaining({kind: 'query-peer', address: FAR}),
    );
  });

  it('is queried again when the query was lost and no other peer has it', () => {
    const harness = new BrainWorld();
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    harness.start(
      [stored(1)],
      [{key: far.box, value: serializeBoxRecord(far)}],
    );
    harness.announceAsReader();
    harness.tell({kind: 'peer-version-reported', address: FAR, version: 2});
    expect(kinds(harness.tick(1000))).toContain('query-peer');
    harness.tell({kind: 'peer-replied', address: FAR, reply: undefined});
    const actions = [harness.tick(500), harness.tick(500)].flat();
    expect(actions).toContainEqual(
      expect.objectContaining({kind: 'query-peer', address: FAR}),
    );
  });

  describe('of a starting node', () => {
    const peer = other({box: 'b2', peerAddress: NEAR});
    const boxes = [{key: peer.box, value: serializeBoxRecord(peer)}];

    it("is a peer's version if that is newer than the store's", () => {
      const harness = new BrainWorld();
      harness.tick();
      harness.read('configuration', [stored(1)]);
      expect(harness.read('boxes', boxes)).toContainEqual(
        expect.objectContaining({kind: 'query-peer', address: NEAR}),
      );
      expect(harness.brain.version).toBe(0);
      const actions = harness.tell({
        kind: 'peer-replied',
        address: NEAR,
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
      const harness = new BrainWorld();
      harness.tick();
      harness.read('configuration', [stored(1)]);
      harness.read('boxes', boxes);
      harness.tick(300);
      expect(harness.brain.version).toBe(0);
      harness.tick(100);
      expect(harness.brain.version).toBe(1);
    });

    it("is the store's version if the box records cannot be read", () => {
      const harness = new BrainWorld();
      harness.tick();
      harness.read('configuration', [stored(1)]);
      harness.fail('boxes', 'unavailable');
      expect(harness.brain.version).toBe(0);
      harness.tick(1000);
      expect(harness.brain.version).toBe(1);
    });
  });

  it('is queried from peers without a report while the store is unavailable', () => {
    const harness = new BrainWorld();
    harness.tick();
    const record = {key: 'b2', value: serializeBoxRecord(other())};
    harness.read('boxes', [record]);
    expect(kinds(harness.fail('configuration', 'unavailable'))).toContain(
      'query-peer',
    );
  });
});

describe('other boxes', () => {
  it('are known by their newest record, in any order of arrival', () => {
    const harness = new BrainWorld();
    harness.tick();
    const newer = other({takesWork: false, statedAt: 20});
    harness.read('boxes', [
      {key: 'b2', value: serializeBoxRecord(newer)},
      {key: 'b2', value: serializeBoxRecord(other())},
    ]);
    expect(harness.brain.directory.get('b2')?.takesWork).toBe(false);
  });

  it('expire when they do not renew their records', () => {
    const harness = new BrainWorld();
    harness.tick();
    harness.read('boxes', [{key: 'b2', value: serializeBoxRecord(other())}]);
    harness.tick(3 * RECORD_RENEWAL_MILLISECONDS + 2000);
    expect(harness.brain.directory.get('b2')).toBeUndefined();
  });

  it('are deleted from the store by one node only when they expire', () => {
    const deletions = ['b1', 'b3', 'b4'].map((box) => {
      const stateMachine = new FleetStateMachine({...IDENTITY, box}, () =>
        success(undefined),
      );
      const renewedAt = 3 * RECORD_RENEWAL_MILLISECONDS;
      stateMachine.directory.put(other());
      for (const peer of ['b1', 'b3', 'b4']) {
        stateMachine.directory.put(other({box: peer, statedAt: renewedAt}));
      }
      const event = {kind: 'tick'} as const;
      return stateMachine
        .handle(renewedAt + 2000, seededRandom(3), event)
        .filter(({kind}) => kind === 'delete-record');
    });
    expect(deletions.flat()).toEqual([{kind: 'delete-record', key: 'b2'}]);
  });

  it('are not added from a malformed record', () => {
    const harness = new BrainWorld();
    harness.tick();
    harness.read('boxes', [{key: 'b3', value: Buffer.from('{"box":1}')}]);
    harness.read('boxes', [{key: 'b3', value: Buffer.from('no json')}]);
    expect(harness.brain.directory.size).toBe(0);
  });

  it('include the sender of a query', () => {
    const harness = new BrainWorld();
    const peerReply = harness.brain.answer(harness.now, {
      version: 0,
      boxesDigest: 0,
      own: other(),
    });
    expect(peerReply.boxes.map(({box}) => box)).toEqual(['b2']);
  });

  it('are sent only to a peer whose digest differs', () => {
    const [one, same] = [new BrainWorld(), new BrainWorld()];
    const [b2, b3] = [other(), other({box: 'b3', statedAt: 20})];
    [b2, b3].forEach((record) => one.brain.directory.put(record));
    [b3, other({statedAt: 5}), b2].forEach((record) =>
      same.brain.directory.put(record),
    );
    const boxesDigest = same.brain.directory.digest;
    const peerQuery = {version: 0, boxesDigest, own: undefined};
    expect(one.brain.answer(one.now, peerQuery).boxes).toEqual([]);
    one.brain.directory.put(other({statedAt: 30}));
    expect(one.brain.answer(one.now, peerQuery).boxes).toHaveLength(2);
    const withoutDigest = {...peerQuery, boxesDigest: undefined};
    expect(one.brain.answer(one.now, withoutDigest).boxes).toEqual([]);
  });

  it('are removed from the digest when they expire', () => {
    const harness = new BrainWorld();
    const before = harness.brain.directory.digest;
    harness.brain.directory.put(other());
    expect(harness.brain.directory.digest).not.toBe(before);
    harness.brain.directory.expire(10 ** 9);
    expect(harness.brain.directory.digest).toBe(before);
    expect(harness.brain.directory.dataCentreAt('10.0.0.2:7000')).toBe(
      undefined,
    );
  });
});

describe('the own upstream', () => {
  it('never takes work again after it announced that it drains', () => {
    const harness = new BrainWorld();
    harness.announce();
    harness.announce({state: 'draining', sequence: 2});
    harness.announce({sequence: 3});
    expect(harness.brain.own.upstream?.takesWork).toBe(false);
  });

  it('is not revived by a late announcement after it left', () => {
    const harness = new BrainWorld();
    harness.announce();
    harness.announce({state: 'gone', sequence: 0});
    expect(harness.announce({sequence: 9})).toEqual([]);
    expect(harness.brain.own.upstream?.takesWork).toBe(false);
  });

  it('is replaced by a new lifetime, and a late word of the old one is ignored', () => {
    const harness = new BrainWorld();
    harness.announce();
    harness.announce({incarnation: {id: 'i-2', startedAt: 0}, sequence: 1});
    harness.announce({sequence: 5});
    expect(harness.brain.own.upstream?.incarnation.id).toBe('i-2');
  });
});
