// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node knows of its fleet, through lost answers, lapses and restarts. */

import {describe, expect, it} from 'vitest';
import {failure, seededRandom, success} from '@lockpin/utils';
import {RECORD_RENEWAL_MILLISECONDS, writeBoxRecord} from '../boxRecord.js';
import type {BoxRecord} from '../boxRecord.js';
import type {DeclaredConfiguration} from '../declaredConfiguration.js';
import {FleetBrain} from '../fleetBrain.js';
import type {FleetAction, FleetEvent} from '../fleetMessages.js';
import type {UpstreamAnnouncement} from '../ownUpstream.js';
import type {RecordStream, StoredRecord} from '../recordStore.js';

/** Nodes in this and in another data centre. */
const NEAR = '10.0.0.2:7000';
const FAR = '10.0.0.3:7000';

const IDENTITY = {box: 'b1', dataCentre: 'd1', peerAddress: '10.0.0.1:7000'};
const random = seededRandom(3);

function configuration(version: number): DeclaredConfiguration {
  return {
    version,
    routes: [],
    services: [{name: 's', mostConnections: 9}],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerMilliseconds: 1,
      idleMilliseconds: 1,
    },
    customers: [],
  };
}

function stored(version: number): StoredRecord {
  return {key: 'config', value: Buffer.from(String(version))};
}

function other(change: Partial<BoxRecord> = {}): BoxRecord {
  return {
    box: 'b2',
    dataCentre: 'd1',
    peerAddress: '10.0.0.2:7000',
    service: 's',
    slots: 4,
    takesWork: true,
    coldUntil: 0,
    statedAt: 10,
    ...change,
  };
}

function announcement(
  change: Partial<UpstreamAnnouncement> = {},
): UpstreamAnnouncement {
  return {
    incarnation: {id: 'i-1', startedAt: 0},
    service: 's',
    address: '10.0.0.1:8000',
    slots: 4,
    state: 'ready',
    coldMilliseconds: 0,
    sequence: 1,
    ...change,
  };
}

class World {
  now = 1000;
  readonly brain = new FleetBrain(IDENTITY, (record) => {
    const version = Number(record.value?.toString());
    if (record.key !== 'config') {
      return success(undefined);
    }
    return Number.isNaN(version)
      ? failure({field: 'version', problem: 'give a number'})
      : success(configuration(version));
  });

  /** The newest read of each stream. */
  private readonly reads = {configuration: 0, boxes: 0};

  tell(event: FleetEvent): readonly FleetAction[] {
    const actions = this.brain.handle(this.now, random, event);
    for (const action of actions) {
      if (action.kind === 'read-newest' || action.kind === 'follow') {
        this.reads[action.stream] = action.read;
      }
    }
    return actions;
  }

  read(stream: RecordStream, records: readonly StoredRecord[], end = 1) {
    const result = {ok: true, value: {records, end}} as const;
    return this.tell({
      kind: 'read-ended',
      stream,
      read: this.reads[stream],
      result,
    });
  }

  fail(stream: RecordStream, kind: 'unavailable' | 'history-gone') {
    const result = {ok: false, failure: {kind, detail: ''}} as const;
    return this.tell({
      kind: 'read-ended',
      stream,
      read: this.reads[stream],
      result,
    });
  }

  announce(change: Partial<UpstreamAnnouncement> = {}) {
    const news = announcement(change);
    return this.tell({kind: 'upstream-announced', announcement: news});
  }

  /** Of its data centre's nodes this one is among those that read the store. */
  announceAsReader() {
    this.announce();
    this.tell({kind: 'write-ended', result: {ok: true, value: undefined}});
    this.tick();
    expect(this.brain.duty.isFollowing(this.now)).toBe(true);
  }

  tick(milliseconds = 0) {
    this.now += milliseconds;
    return this.tell({kind: 'tick'});
  }
}

const kinds = (actions: readonly FleetAction[]) =>
  actions.map(({kind}) => kind);

describe('the configuration in force', () => {
  it('never goes back to an older version', () => {
    const world = new World();
    world.tick();
    world.read('configuration', [stored(7)]);
    expect(kinds(world.read('configuration', [stored(5)]))).not.toContain(
      'configuration-changed',
    );
    expect(world.brain.version).toBe(7);
  });

  it('stays as it is when a document cannot be read, and the log says why', () => {
    const world = new World();
    world.tick();
    world.read('configuration', [stored(7)]);
    const record = {key: 'config', value: Buffer.from('broken')};
    expect(world.read('configuration', [record])).toContainEqual(
      expect.objectContaining({kind: 'note', event: 'configuration-wrong'}),
    );
    expect(world.brain.version).toBe(7);
  });

  it('is taken from a peer when the store does not answer', () => {
    const world = new World();
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
    const world = new World();
    world.tick();
    const near = other({box: 'b2', peerAddress: NEAR});
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    const records = [near, far].map((record) => ({
      key: record.box,
      value: writeBoxRecord(record),
    }));
    world.read('configuration', [stored(1)]);
    world.read('boxes', records);
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
    const world = new World();
    world.tick();
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    world.read('configuration', [stored(1)]);
    world.read('boxes', [{key: far.box, value: writeBoxRecord(far)}]);
    world.announceAsReader();
    world.tell({kind: 'peer-version-heard', address: FAR, version: 2});
    expect(kinds(world.tick(400))).not.toContain('ask-peer');
    expect(world.tick(500)).toContainEqual(
      expect.objectContaining({kind: 'ask-peer', address: FAR}),
    );
  });

  it('is not asked for once the store has brought it', () => {
    const world = new World();
    world.tick();
    world.read('boxes', []);
    world.tell({kind: 'peer-version-heard', address: FAR, version: 2});
    world.read('configuration', [stored(2)]);
    expect(kinds(world.tick(1000))).not.toContain('ask-peer');
  });

  it('is asked for at one peer, however many tell of it at a start', () => {
    const world = new World();
    const asked = ['p1', 'p2', 'p3', 'p4'].flatMap((address) =>
      world.tell({kind: 'peer-version-heard', address, version: 2}),
    );
    expect(kinds(asked)).toEqual(['ask-peer']);
  });

  it('asks a peer that did not answer again when it is heard of again', () => {
    const world = new World();
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
    const world = new World();
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
    const world = new World();
    world.tick();
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    world.read('configuration', [stored(1)]);
    world.read('boxes', [{key: far.box, value: writeBoxRecord(far)}]);
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
    const world = new World();
    world.tick();
    const far = other({box: 'b3', peerAddress: FAR, dataCentre: 'd2'});
    world.read('configuration', [stored(1)]);
    world.read('boxes', [{key: far.box, value: writeBoxRecord(far)}]);
    world.announceAsReader();
    world.tell({kind: 'peer-version-heard', address: FAR, version: 2});
    expect(kinds(world.tick(1000))).toContain('ask-peer');
    world.tell({kind: 'peer-replied', address: FAR, knowledge: undefined});
    const asked = [world.tick(500), world.tick(500)].flat();
    expect(asked).toContainEqual(
      expect.objectContaining({kind: 'ask-peer', address: FAR}),
    );
  });

  it('asks peers by itself while the store is lost', () => {
    const world = new World();
    world.tick();
    const record = {key: 'b2', value: writeBoxRecord(other())};
    world.read('boxes', [record]);
    expect(kinds(world.fail('configuration', 'unavailable'))).toContain(
      'ask-peer',
    );
  });
});

describe('reading the store', () => {
  it('follows on from where the newest records ended', () => {
    const world = new World();
    expect(kinds(world.tick())).toEqual(['read-newest', 'read-newest']);
    world.read('boxes', []);
    world.announceAsReader();
    const follow = world
      .read('configuration', [], 42)
      .find(({kind}) => kind === 'follow');
    expect(follow).toMatchObject({stream: 'configuration', from: 42});
  });

  it('reads the newest of each key again when the history is gone', () => {
    const world = new World();
    world.tick();
    world.read('boxes', []);
    world.announceAsReader();
    world.read('configuration', [], 42);
    expect(kinds(world.fail('configuration', 'history-gone'))).toContain(
      'read-newest',
    );
  });

  it('pauses after each failure, longer each time but within a second and a half', () => {
    const world = new World();
    world.tick();
    for (let i = 0; i < 8; i += 1) {
      expect(kinds(world.fail('boxes', 'unavailable'))).not.toContain(
        'read-newest',
      );
      expect(kinds(world.tick(1500))).toContain('read-newest');
    }
  });

  it('notes the loss of the store once, and its return', () => {
    const world = new World();
    world.tick();
    world.read('configuration', []);
    const notes = [
      ...world.fail('boxes', 'unavailable'),
      ...world.tick(2000),
      ...world.fail('boxes', 'unavailable'),
      ...world.tick(2000),
      ...world.fail('boxes', 'unavailable'),
      ...world.tick(2000),
      ...world.read('boxes', []),
    ].flatMap((action) => (action.kind === 'note' ? [action.event] : []));
    expect(notes).toEqual(['store-lost', 'store-regained']);
  });
});

describe('a read that the store leaves hanging', () => {
  it('is noted with how long it hung, and followed by a short one within a second', () => {
    const world = new World();
    world.tick();
    world.read('boxes', []);
    const actions = [world.tick(600), world.tick(200), world.tick(200)].flat();
    expect(actions).toContainEqual({
      kind: 'note',
      event: 'store-read-hung',
      subject: 'configuration',
      detail: {milliseconds: 600},
    });
    expect(actions).toContainEqual({
      kind: 'read-newest',
      stream: 'configuration',
      read: 2,
    });
  });

  it('is taken for an answer all the same when one comes late', () => {
    const world = new World();
    world.tick();
    world.read('boxes', []);
    world.tick(600);
    world.tick(400);
    const page = {records: [stored(3)], end: 1};
    const late = world.tell({
      kind: 'read-ended',
      stream: 'configuration',
      read: 1,
      result: {ok: true, value: page},
    });
    expect(kinds(late)).toContain('configuration-changed');
    expect(world.brain.duty.storeAge(world.now)).toBe(0);
  });

  it('is found out by what a peer knows, and read again beside it', () => {
    const world = new World();
    world.tick();
    world.read('configuration', [stored(1)]);
    world.read('boxes', []);
    world.announceAsReader();
    world.tick(200);
    world.now += 1000;
    world.tell({kind: 'peer-version-heard', address: NEAR, version: 2});
    expect(world.tick(200)).toContainEqual(
      expect.objectContaining({
        kind: 'follow',
        stream: 'configuration',
        waitMilliseconds: 0,
      }),
    );
  });
});

describe('the own record', () => {
  it('is written once the upstream has announced itself', () => {
    const world = new World();
    world.tick();
    world.read('boxes', []);
    const actions = world.announce();
    expect(kinds(actions)).toEqual(['upstream-changed', 'write']);
    world.tell({kind: 'write-ended', result: {ok: true, value: undefined}});
    expect(kinds(world.tick(1000))).not.toContain('write');
  });

  it('is not written again by a restart that changes nothing', () => {
    const world = new World();
    world.tick();
    const before = other({...IDENTITY, statedAt: 900});
    world.read('boxes', [{key: 'b1', value: writeBoxRecord(before)}]);
    expect(kinds(world.announce())).toEqual(['upstream-changed']);
  });

  it('is written again when an answer was lost and the store does not have it', () => {
    const world = new World();
    world.tick();
    world.read('boxes', []);
    world.announce();
    const failure = {kind: 'outcome-unknown', detail: ''} as const;
    world.tell({kind: 'write-ended', result: {ok: false, failure}});
    expect(kinds(world.tick(1000))).toContain('write');
  });

  /*
   * Found with a played fleet in which a box was unknown to those that started later: the
   * store had turned its write away, its readers told all they had heard of it from the
   * box itself, the box among them, and it took that for the store's word.
   */
  it('is written though peers tell of it, until the store has taken it', () => {
    const world = new World();
    world.tick();
    world.read('boxes', []);
    world.announce();
    const failure = {kind: 'unavailable', detail: ''} as const;
    world.tell({kind: 'write-ended', result: {ok: false, failure}});
    const own = world.brain.directory.get('b1');
    expect(own).toBeDefined();
    world.tell({
      kind: 'news-told',
      news: {kind: 'boxes', boxes: own === undefined ? [] : [own]},
    });
    expect(kinds(world.tick(1000))).toContain('write');
  });

  it('replaces a write that was done late, after a newer one', () => {
    const world = new World();
    world.tick();
    world.read('boxes', []);
    world.announce();
    world.tell({kind: 'write-ended', result: {ok: true, value: undefined}});
    world.now += 100;
    world.announce({state: 'draining', sequence: 2});
    world.tell({kind: 'write-ended', result: {ok: true, value: undefined}});
    const late = other({...IDENTITY, takesWork: true, statedAt: 1000});
    const actions = world.read('boxes', [
      {key: 'b1', value: writeBoxRecord(late)},
    ]);
    expect(kinds(actions)).toContain('write');
  });

  it('says that the upstream takes no work when none came after a restart', () => {
    const world = new World();
    world.tick();
    const before = other({...IDENTITY, statedAt: 900});
    world.read('boxes', [{key: 'b1', value: writeBoxRecord(before)}]);
    expect(kinds(world.tick(5000))).not.toContain('write');
    expect(kinds(world.tick(2000))).toContain('write');
    expect(world.brain.directory.get('b1')?.takesWork).toBe(false);
    world.tell({kind: 'write-ended', result: {ok: true, value: undefined}});
    expect(kinds(world.announce())).toEqual(['upstream-changed', 'write']);
  });

  it('is renewed in time', () => {
    const world = new World();
    world.tick();
    world.read('boxes', []);
    world.announce();
    world.tell({kind: 'write-ended', result: {ok: true, value: undefined}});
    expect(kinds(world.tick(RECORD_RENEWAL_MILLISECONDS + 1))).toContain(
      'write',
    );
  });
});

describe('other boxes', () => {
  it('are known by their newest statement, however it came', () => {
    const world = new World();
    world.tick();
    const newer = other({takesWork: false, statedAt: 20});
    world.read('boxes', [
      {key: 'b2', value: writeBoxRecord(newer)},
      {key: 'b2', value: writeBoxRecord(other())},
    ]);
    expect(world.brain.directory.get('b2')?.takesWork).toBe(false);
  });

  it('are forgotten when they do not renew their records', () => {
    const world = new World();
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
        .handle(fresh + 2000, random, event)
        .filter(({kind}) => kind === 'drop-record');
    });
    expect(drops.flat()).toEqual([{kind: 'drop-record', key: 'b2'}]);
  });

  it('pass over a record of another form', () => {
    const world = new World();
    world.tick();
    world.read('boxes', [{key: 'b3', value: Buffer.from('{"box":1}')}]);
    world.read('boxes', [{key: 'b3', value: Buffer.from('no json')}]);
    expect(world.brain.directory.size).toBe(0);
  });

  it('learn of the asker from its question', () => {
    const world = new World();
    const knowledge = world.brain.answer(world.now, {
      version: 0,
      boxesDigest: 0,
      own: other(),
    });
    expect(knowledge.boxes.map(({box}) => box)).toEqual(['b2']);
  });

  it('are told only to a peer that does not know the same', () => {
    const [one, same] = [new World(), new World()];
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
    const world = new World();
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
    const world = new World();
    world.announce();
    world.announce({state: 'draining', sequence: 2});
    world.announce({sequence: 3});
    expect(world.brain.own.upstream?.takesWork).toBe(false);
  });

  it('is not revived by a late announcement after it left', () => {
    const world = new World();
    world.announce();
    world.announce({state: 'gone', sequence: 0});
    expect(world.announce({sequence: 9})).toEqual([]);
    expect(world.brain.own.upstream?.takesWork).toBe(false);
  });

  it('is replaced by a new lifetime, and a late word of the old one is ignored', () => {
    const world = new World();
    world.announce();
    world.announce({incarnation: {id: 'i-2', startedAt: 0}, sequence: 1});
    world.announce({sequence: 5});
    expect(world.brain.own.upstream?.incarnation.id).toBe('i-2');
  });
});
