// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node makes of the store's answers, and of answers that do not come. */

import {describe, expect, it} from 'vitest';
import {RECORD_RENEWAL_MILLISECONDS, writeBoxRecord} from '../boxRecord.js';
import {
  BrainWorld,
  IDENTITY,
  NEAR,
  WRITTEN,
  kinds,
  other,
  stored,
} from './__fixtures__/brainWorld.js';

describe('reading the store', () => {
  it('follows on from where the newest records ended', () => {
    const world = new BrainWorld();
    expect(kinds(world.tick())).toEqual(['read-newest', 'read-newest']);
    world.read('boxes', []);
    world.announceAsReader();
    const follow = world
      .read('configuration', [], 42)
      .find(({kind}) => kind === 'follow');
    expect(follow).toMatchObject({
      stream: 'configuration',
      from: {era: 1, offset: 42},
    });
  });

  it('reads the newest of each key again when the history is gone', () => {
    const world = new BrainWorld();
    world.tick();
    world.read('boxes', []);
    world.announceAsReader();
    world.read('configuration', [], 42);
    expect(kinds(world.fail('configuration', 'history-gone'))).toContain(
      'read-newest',
    );
  });

  it('pauses after each failure, longer each time but within a second and a half', () => {
    const world = new BrainWorld();
    world.tick();
    for (let i = 0; i < 8; i += 1) {
      expect(kinds(world.fail('boxes', 'unavailable'))).not.toContain(
        'read-newest',
      );
      expect(kinds(world.tick(1500))).toContain('read-newest');
    }
  });

  it('notes the loss of the store once, and its return', () => {
    const world = new BrainWorld();
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
    const world = new BrainWorld();
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
    const world = new BrainWorld();
    world.tick();
    world.read('boxes', []);
    world.tick(600);
    world.tick(400);
    const page = {
      records: [stored(3)],
      end: {era: 1, offset: 1},
      isWhole: true,
    };
    const late = world.tell({
      kind: 'read-ended',
      stream: 'configuration',
      read: 1,
      result: {ok: true, value: page, era: 1},
    });
    expect(kinds(late)).toContain('configuration-changed');
    expect(world.brain.duty.storeAge(world.now)).toBe(0);
  });

  it('is found out by what a peer knows, and read again beside it', () => {
    const world = new BrainWorld();
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

describe('an answer of the store', () => {
  const page = (version: number, era: number) => ({
    kind: 'read-ended' as const,
    stream: 'configuration' as const,
    read: 0,
    result: {
      ok: true as const,
      value: {
        records: [stored(version)],
        end: {era, offset: 9},
        isWhole: false,
      },
      era,
    },
  });

  it('of a newer era ends all reads, and all is read anew at once', () => {
    const world = new BrainWorld();
    world.start([stored(1)]);
    world.announceAsReader();
    world.tick(200);
    world.tell(page(2, 1));
    const actions = world.tell(page(3, 2));
    expect(actions).toContainEqual({
      kind: 'note',
      event: 'store-restored',
      subject: '2',
      detail: {before: 1, source: 'configuration'},
    });
    expect(
      actions.flatMap((action) =>
        action.kind === 'read-newest' ? [action.stream] : [],
      ),
    ).toEqual(['configuration', 'boxes']);
    expect(world.brain.version).toBe(3);
  });

  it('that brings all of an older configuration changes nothing, and is noted', () => {
    const world = new BrainWorld();
    world.start([stored(4)]);
    const older = world.tell({
      kind: 'read-ended',
      stream: 'configuration',
      read: 0,
      result: {
        ok: true,
        value: {
          records: [stored(3)],
          end: {era: 1, offset: 3},
          isWhole: true,
        },
        era: 1,
      },
    });
    expect(older).toContainEqual({
      kind: 'note',
      event: 'configuration-older-in-store',
      subject: '3',
      detail: {version: 4},
    });
    expect(world.brain.version).toBe(4);
  });

  it('of an earlier era changes nothing, and is noted', () => {
    const world = new BrainWorld();
    world.start([stored(1)]);
    world.tell(page(2, 2));
    const late = world.tell(page(7, 1));
    expect(late).toContainEqual({
      kind: 'note',
      event: 'store-answer-outdated',
      subject: 'configuration',
      detail: {era: 1, known: 2},
    });
    expect(world.brain.version).toBe(2);
  });

  it('to a write, of an earlier era, leaves the record to be written again', () => {
    const world = new BrainWorld();
    world.start([stored(1)]);
    world.announce();
    world.tell(page(2, 2));
    world.tell({kind: 'write-ended', result: WRITTEN});
    expect(kinds(world.tick(500))).toContain('write');
  });

  it('that refuses tells of a newer era as well', () => {
    const world = new BrainWorld();
    world.start([stored(1)]);
    const failure = {kind: 'unavailable', detail: 'busy'} as const;
    const actions = world.tell({
      kind: 'write-ended',
      result: {ok: false, failure, era: 5},
    });
    expect(actions).toContainEqual(
      expect.objectContaining({kind: 'note', event: 'store-restored'}),
    );
  });
});

describe('the own record', () => {
  it('is written once the upstream has announced itself', () => {
    const world = new BrainWorld();
    world.tick();
    world.read('boxes', []);
    const actions = world.announce();
    expect(kinds(actions)).toEqual(['upstream-changed', 'write']);
    world.tell({kind: 'write-ended', result: WRITTEN});
    expect(kinds(world.tick(1000))).not.toContain('write');
  });

  it('is not written again by a restart that changes nothing', () => {
    const world = new BrainWorld();
    world.tick();
    const before = other({...IDENTITY, statedAt: 900});
    world.read('boxes', [{key: 'b1', value: writeBoxRecord(before)}]);
    expect(kinds(world.announce())).toEqual(['upstream-changed']);
  });

  it('is written again when an answer was lost and the store does not have it', () => {
    const world = new BrainWorld();
    world.tick();
    world.read('boxes', []);
    world.announce();
    const failure = {kind: 'outcome-unknown', detail: ''} as const;
    world.tell({
      kind: 'write-ended',
      result: {ok: false, failure, era: undefined},
    });
    expect(kinds(world.tick(1000))).toContain('write');
  });

  /*
   * Found with a played fleet in which a box was unknown to those that started later: the
   * store had turned its write away, its readers told all they had heard of it from the
   * box itself, the box among them, and it took that for the store's word.
   */
  it('is written though peers tell of it, until the store has taken it', () => {
    const world = new BrainWorld();
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
    const world = new BrainWorld();
    world.tick();
    world.read('boxes', []);
    world.announce();
    world.tell({kind: 'write-ended', result: WRITTEN});
    world.now += 100;
    world.announce({state: 'draining', sequence: 2});
    world.tell({kind: 'write-ended', result: WRITTEN});
    const late = other({...IDENTITY, takesWork: true, statedAt: 1000});
    const actions = world.read('boxes', [
      {key: 'b1', value: writeBoxRecord(late)},
    ]);
    expect(kinds(actions)).toContain('write');
  });

  it('says that the upstream takes no work when none came after a restart', () => {
    const world = new BrainWorld();
    world.tick();
    const before = other({...IDENTITY, statedAt: 900});
    world.read('boxes', [{key: 'b1', value: writeBoxRecord(before)}]);
    expect(kinds(world.tick(5000))).not.toContain('write');
    expect(kinds(world.tick(2000))).toContain('write');
    expect(world.brain.directory.get('b1')?.takesWork).toBe(false);
    world.tell({kind: 'write-ended', result: WRITTEN});
    expect(kinds(world.announce())).toEqual(['upstream-changed', 'write']);
  });

  it('is renewed in time', () => {
    const world = new BrainWorld();
    world.tick();
    world.read('boxes', []);
    world.announce();
    world.tell({kind: 'write-ended', result: WRITTEN});
    expect(kinds(world.tick(RECORD_RENEWAL_MILLISECONDS + 1))).toContain(
      'write',
    );
  });
});
