// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node knows of its fleet, through lapses and restarts. */

import {describe, expect, it} from 'vitest';
import {seededRandom, success} from '@lockpin/utils';
import {RECORD_RENEWAL_MILLISECONDS, writeBoxRecord} from '../boxRecord.js';
import {FleetBrain} from '../fleetBrain.js';
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
    const world = new BrainWorld();
    world.start([stored(7)]);
    expect(kinds(world.read('configuration', [stored(5)]))).not.toContain(
      'configuration-changed',
    );
    expect(world.brain.version).toBe(7);
  });

  it('stays as it is when a document cannot be read, and the log says why', () => {
    const world = new BrainWorld();
    world.start([stored(7)]);
    const record = {key: 'config', value: Buffer.from('broken')};
    expect(world.read('configuration', [record])).toContainEqual(
      expect.objectContaining({kind: 'note', event: 'configuration-wrong'}),
    );
    expect(world.brain.version).toBe(7);
  });

  it('is taken from a peer when the store does not answer', () => {
    const world = new BrainWorld();
    world.tick();
    world.read('configuration', [stored(1)]);
    world.read('boxes', []);
    world.announceAsReader();
    world.tick(200);
    world.fail('configuration', 'unavailable');
    const [ask] = world.tell({
      kind: 'peer-version-heard',
      address: 'peer',
      version: 2,
    });
    expect(ask).toMatchObject({kind: 'ask-peer', address: 'peer'});
    const learnt = world.tell({
      kind: 'peer-replied',
      address: 'peer',
      knowledge: {configuration: configuration(2), boxes: []},
    });
    expect(learnt).toMatchObject([{kind: 'configuration-changed'}]);
  });

  it('is left to the store for a moment, then asked for in the own data centre', () => {
    const world = new BrainWorld();
    const near = other({box: 'b2', peerAddress: NEAR});
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    const records = [near, far].map((record) => ({
      key: record.box,
      value: writeBoxRecord(record),
    }));
    world.start([stored(1)], records);
    world.announceAsReader();
    const hear = (address: string) =>
      world.tell({kind: 'peer-version-heard', address, version: 2});
    expect(hear(FAR)).toEqual([]);
    expect(hear(NEAR)).toEqual([]);
    expect(kinds(world.tick(300))).not.toContain('ask-peer');
    expect(world.tick(100)).toContainEqual(
      expect.objectContaining({kind: 'ask-peer', address: NEAR}),
    );
  });

  it('is asked for in another data centre only after neighbours could have it', () => {
    const world = new BrainWorld();
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    world.start([stored(1)], [{key: far.box, value: writeBoxRecord(far)}]);
    world.announceAsReader();
    world.tell({kind: 'peer-version-heard', address: FAR, version: 2});
    expect(kinds(world.tick(400))).not.toContain('ask-peer');
    expect(world.tick(500)).toContainEqual(
      expect.objectContaining({kind: 'ask-peer', address: FAR}),
    );
  });

  it('is not asked for once the store has brought it', () => {
    const world = new BrainWorld();
    world.tick();
    world.read('boxes', []);
    world.tell({kind: 'peer-version-heard', address: FAR, version: 2});
    world.read('configuration', [stored(2)]);
    expect(kinds(world.tick(1000))).not.toContain('ask-peer');
  });

  it('is asked for at one peer, however many tell of it at a start', () => {
    const world = new BrainWorld();
    const asked = ['p1', 'p2', 'p3', 'p4'].flatMap((address) =>
      world.tell({kind: 'peer-version-heard', address, version: 2}),
    );
    expect(kinds(asked)).toEqual(['ask-peer']);
  });

  it('asks a peer that did not answer again when it is heard of again', () => {
    const world = new BrainWorld();
    const heard = {
      kind: 'peer-version-heard',
      address: 'peer',
      version: 2,
    } as const;
    expect(kinds(world.tell(heard))).toEqual(['ask-peer']);
    expect(world.tell(heard)).toEqual([]);
    world.tell({kind: 'peer-replied', address: 'peer', knowledge: undefined});
    expect(kinds(world.tell(heard))).toEqual(['ask-peer']);
  });

  it('is noted once when it is late, with who told of it and what became of questions', () => {
    const world = new BrainWorld();
    world.tick();
    world.read('configuration', [stored(1)]);
    world.read('boxes', []);
    world.tell({kind: 'peer-version-heard', address: FAR, version: 2});
    world.tick(600);
    world.tell({kind: 'peer-version-heard', address: NEAR, version: 3});
    world.tell({kind: 'peer-replied', address: FAR, knowledge: undefined});
    const notes = [world.tick(200), world.tick(400), world.tick(400)].flatMap(
      (actions) =>
        actions.filter(
          (action) =>
            action.kind === 'note' && action.event === 'configuration-late',
        ),
    );
    expect(notes).toEqual([
      {
        kind: 'note',
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
   * Found while looking for what else may keep a confirmed change from a box: a peer told
   * of version 2 and was asked for it, told of 3 before it had answered, and answered with
   * 2. Nobody told of 3 again, and the box stayed at 2 until the next change.
   *
   * Cause: a number that a peer told was dropped while it had a question open, and with
   * any newer version that came. Evidence: this test; in it nothing else is lost.
   */
  it('is asked for when it was told of while the teller had a question open', () => {
    const world = new BrainWorld();
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    world.start([stored(1)], [{key: far.box, value: writeBoxRecord(far)}]);
    world.announceAsReader();
    const tell = (version: number) =>
      world.tell({kind: 'peer-version-heard', address: FAR, version});
    tell(2);
    expect(kinds(world.tick(1000))).toContain('ask-peer');
    tell(3);
    world.tell({
      kind: 'peer-replied',
      address: FAR,
      knowledge: {configuration: configuration(2), boxes: []},
    });
    const asked = [world.tick(500), world.tick(500)].flat();
    expect(asked).toContainEqual(
      expect.objectContaining({kind: 'ask-peer', address: FAR}),
    );
  });

  it('is asked for again when the question was lost and nobody else knows it', () => {
    const world = new BrainWorld();
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    world.start([stored(1)], [{key: far.box, value: writeBoxRecord(far)}]);
    world.announceAsReader();
    world.tell({kind: 'peer-version-heard', address: FAR, version: 2});
    expect(kinds(world.tick(1000))).toContain('ask-peer');
    world.tell({kind: 'peer-replied', address: FAR, knowledge: undefined});
    const asked = [world.tick(500), world.tick(500)].flat();
    expect(asked).toContainEqual(
      expect.objectContaining({kind: 'ask-peer', address: FAR}),
    );
  });

  describe('of a node that starts', () => {
    const peer = other({box: 'b2', peerAddress: NEAR});
    const boxes = [{key: peer.box, value: writeBoxRecord(peer)}];

    it('is what a peer has, where that is newer than what the store says', () => {
      const world = new BrainWorld();
      world.tick();
      world.read('configuration', [stored(1)]);
      expect(world.read('boxes', boxes)).toContainEqual(
        expect.objectContaining({kind: 'ask-peer', address: NEAR}),
      );
      expect(world.brain.version).toBe(0);
      const actions = world.tell({
        kind: 'peer-replied',
        address: NEAR,
        knowledge: {configuration: configuration(2), boxes: []},
      });
      expect(
        actions.flatMap((action) =>
          action.kind === 'configuration-changed'
            ? [action.configuration.version]
            : [],
        ),
      ).toEqual([2]);
    });

    it('is what the store says once no peer has said otherwise in time', () => {
      const world = new BrainWorld();
      world.tick();
      world.read('configuration', [stored(1)]);
      world.read('boxes', boxes);
      world.tick(300);
      expect(world.brain.version).toBe(0);
      world.tick(100);
      expect(world.brain.version).toBe(1);
    });

    it('is what the store says where the boxes cannot be read', () => {
      const world = new BrainWorld();
      world.tick();
      world.read('configuration', [stored(1)]);
      world.fail('boxes', 'unavailable');
      expect(world.brain.version).toBe(0);
      world.tick(1000);
      expect(world.brain.version).toBe(1);
    });
  });

  it('asks peers by itself while the store is lost', () => {
    const world = new BrainWorld();
    world.tick();
    const record = {key: 'b2', value: writeBoxRecord(other())};
    world.read('boxes', [record]);
    expect(kinds(world.fail('configuration', 'unavailable'))).toContain(
      'ask-peer',
    );
  });
});

describe('other boxes', () => {
  it('are known by their newest statement, however it came', () => {
    const world = new BrainWorld();
    world.tick();
    const newer = other({takesWork: false, statedAt: 20});
    world.read('boxes', [
      {key: 'b2', value: writeBoxRecord(newer)},
      {key: 'b2', value: writeBoxRecord(other())},
    ]);
    expect(world.brain.directory.get('b2')?.takesWork).toBe(false);
  });

  it('are forgotten when they do not renew their records', () => {
    const world = new BrainWorld();
    world.tick();
    world.read('boxes', [{key: 'b2', value: writeBoxRecord(other())}]);
    world.tick(3 * RECORD_RENEWAL_MILLISECONDS + 2000);
    expect(world.brain.directory.get('b2')).toBeUndefined();
  });

  it('leave the store by the hand of one node when they are forgotten', () => {
    const drops = ['b1', 'b3', 'b4'].map((box) => {
      const brain = new FleetBrain({...IDENTITY, box}, () =>
        success(undefined),
      );
      const fresh = 3 * RECORD_RENEWAL_MILLISECONDS;
      brain.directory.put(other());
      for (const peer of ['b1', 'b3', 'b4']) {
        brain.directory.put(other({box: peer, statedAt: fresh}));
      }
      const event = {kind: 'tick'} as const;
      return brain
        .handle(fresh + 2000, seededRandom(3), event)
        .filter(({kind}) => kind === 'drop-record');
    });
    expect(drops.flat()).toEqual([{kind: 'drop-record', key: 'b2'}]);
  });

  it('pass over a record of another form', () => {
    const world = new BrainWorld();
    world.tick();
    world.read('boxes', [{key: 'b3', value: Buffer.from('{"box":1}')}]);
    world.read('boxes', [{key: 'b3', value: Buffer.from('no json')}]);
    expect(world.brain.directory.size).toBe(0);
  });

  it('learn of the asker from its question', () => {
    const world = new BrainWorld();
    const knowledge = world.brain.answer(world.now, {
      version: 0,
      boxesDigest: 0,
      own: other(),
    });
    expect(knowledge.boxes.map(({box}) => box)).toEqual(['b2']);
  });

  it('are told only to a peer that does not know the same', () => {
    const [one, same] = [new BrainWorld(), new BrainWorld()];
    const [b2, b3] = [other(), other({box: 'b3', statedAt: 20})];
    [b2, b3].forEach((record) => one.brain.directory.put(record));
    [b3, other({statedAt: 5}), b2].forEach((record) =>
      same.brain.directory.put(record),
    );
    const boxesDigest = same.brain.directory.digest;
    const question = {version: 0, boxesDigest, own: undefined};
    expect(one.brain.answer(one.now, question).boxes).toEqual([]);
    one.brain.directory.put(other({statedAt: 30}));
    expect(one.brain.answer(one.now, question).boxes).toHaveLength(2);
    const nothingWanted = {...question, boxesDigest: undefined};
    expect(one.brain.answer(one.now, nothingWanted).boxes).toEqual([]);
  });

  it('leave no trace in the digest once they are forgotten', () => {
    const world = new BrainWorld();
    const before = world.brain.directory.digest;
    world.brain.directory.put(other());
    expect(world.brain.directory.digest).not.toBe(before);
    world.brain.directory.expire(10 ** 9);
    expect(world.brain.directory.digest).toBe(before);
    expect(world.brain.directory.dataCentreAt('10.0.0.2:7000')).toBe(undefined);
  });
});

describe('the own upstream', () => {
  it('never takes work again after it said that it drains', () => {
    const world = new BrainWorld();
    world.announce();
    world.announce({state: 'draining', sequence: 2});
    world.announce({sequence: 3});
    expect(world.brain.own.upstream?.takesWork).toBe(false);
  });

  it('is not revived by a late announcement after it left', () => {
    const world = new BrainWorld();
    world.announce();
    world.announce({state: 'gone', sequence: 0});
    expect(world.announce({sequence: 9})).toEqual([]);
    expect(world.brain.own.upstream?.takesWork).toBe(false);
  });

  it('is replaced by a new lifetime, and a late word of the old one is ignored', () => {
    const world = new BrainWorld();
    world.announce();
    world.announce({incarnation: {id: 'i-2', startedAt: 0}, sequence: 1});
    world.announce({sequence: 5});
    expect(world.brain.own.upstream?.incarnation.id).toBe('i-2');
  });
});
