// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Records of boxes by other writers: bytes and near-valid objects, as the store and as
 * peers bring them. Nothing is thrown, nothing good is lost, and nothing that names no
 * box to use is used.
 */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {seededRandom, success} from '@lockpin/utils';
import type {BoxRecord} from '../boxRecord.js';
import {FleetBrain} from '../fleetBrain.js';
import type {FleetAction, FleetEvent} from '../fleetMessages.js';
import type {StoredRecord} from '../recordStore.js';

const random = seededRandom(1);

const NOW = 1_700_000_000_000;

const IDENTITY = {box: 'b1', dataCentre: 'd1', peerAddress: '10.0.0.1:7000'};

const LIMITS = {
  headerBytes: 1,
  bodyBytes: 1,
  headerMilliseconds: 1,
  idleMilliseconds: 1,
};

function boxRecord(change: Partial<BoxRecord> = {}): BoxRecord {
  return {
    box: 'b2',
    dataCentre: 'd1',
    peerAddress: '10.0.0.2:7000',
    service: 's',
    slots: 4,
    takesWork: true,
    coldUntil: 0,
    statedAt: NOW,
    ...change,
  };
}

function stored(value: unknown, key = 'b2'): StoredRecord {
  return {key, value: Buffer.from(JSON.stringify(value) ?? '')};
}

class World {
  now = NOW;
  readonly brain = new FleetBrain(
    IDENTITY,
    () =>
      success({
        version: 1,
        routes: [],
        services: [{name: 's', mostConnections: 9}],
        limits: LIMITS,
        customers: [],
      } as never),
    {isFirst: false, dataCentres: ['d1', 'd2']},
  );

  constructor() {
    this.read([], 'configuration');
    this.read([stored(boxRecord())]);
  }

  tell(event: FleetEvent): readonly FleetAction[] {
    return this.brain.handle(this.now, random, event);
  }

  read(
    records: readonly StoredRecord[],
    stream: 'boxes' | 'configuration' = 'boxes',
  ): readonly FleetAction[] {
    const all = stream === 'configuration' ? [stored(1, 'config')] : records;
    const end = {era: 1, offset: 1};
    const value = {records: all, end, isWhole: false};
    const result = {ok: true, value, era: 1} as const;
    return this.tell({kind: 'read-ended', stream, read: 0, result});
  }

  /** The good box is there, is used, and its next word is believed. */
  expectGood(others: readonly string[] = []): void {
    expect(this.brain.directory.get('b2')).toMatchObject({slots: 4});
    this.now += 5000;
    this.read([stored(boxRecord({statedAt: this.now, slots: 5}))]);
    expect(this.brain.directory.get('b2')).toMatchObject({slots: 5});
    expect(this.brain.directory.working).toContain('b2');
    const ranked = this.brain.directory.rankedIn('d1');
    expect(ranked.map(({box}) => box).sort()).toEqual(['b2', ...others]);
  }
}

/** A good record with one or two fields of any kind, or without them. */
const nearValid = fc
  .tuple(
    fc.dictionary(
      fc.constantFrom(...Object.keys(boxRecord()), 'runs'),
      fc.oneof(
        fc.jsonValue(),
        fc.constantFrom(1e300, -1, 0.5, NOW * 2, '', 'b3', [{}], null),
      ),
      {minKeys: 1, maxKeys: 2},
    ),
    fc.constantFrom('b2', 'b3', ''),
  )
  .map(([change, key]) => ({
    key,
    value: {...boxRecord(), ...change} as Record<string, unknown>,
  }));

describe('records of boxes by other writers', () => {
  const wrong: readonly (readonly [string, object])[] = [
    ['statedAt', {statedAt: NOW * 2}],
    ['statedAt', {statedAt: 1e300}],
    ['statedAt', {statedAt: '1'}],
    ['slots', {slots: -4}],
    ['slots', {slots: 1e12}],
    ['slots', {slots: true}],
    ['peerAddress', {peerAddress: 'nowhere'}],
    ['peerAddress', {peerAddress: ''}],
    ['dataCentre', {dataCentre: 'nobody-declared'}],
    ['service', {service: 7}],
    ['takesWork', {takesWork: 'yes'}],
    ['coldUntil', {coldUntil: NOW * 9}],
    ['box', {box: 'b9'}],
    ['runs', {runs: [{digest: 1}]}],
  ];

  it.each(wrong)('name nothing to use: %s of %j', (field, change) => {
    const world = new World();
    const record = {...boxRecord({statedAt: NOW + 1}), ...change};
    const notes = world
      .read([stored(record)])
      .filter((action) => action.kind === 'note');
    expect(notes).toMatchObject([{event: 'record-wrong', detail: {field}}]);
    world.expectGood();
  });

  it('are as little believed when peers bring them', () => {
    const world = new World();
    const box = boxRecord({statedAt: NOW * 2, slots: 1});
    world.tell({kind: 'news-told', news: {kind: 'boxes', boxes: [box]}});
    world.expectGood();
  });

  it('do not keep a node from what follows them', () => {
    const world = new World();
    world.read([
      {key: 'b2', value: Buffer.from('{"box":')},
      stored(boxRecord({box: 'b3', peerAddress: '10.0.0.3:7000'}), 'b3'),
      {key: '', value: Buffer.alloc(0)},
      stored(null),
    ]);
    world.expectGood(['b3']);
  });

  it('of a service that nobody declared name no box to go to or to ask', () => {
    const world = new World();
    const foreign = boxRecord({
      box: 'b3',
      peerAddress: '10.0.0.3:7000',
      service: 'nobody',
    });
    world.read([stored(foreign, 'b3')]);
    world.expectGood();
  });

  it('in the place of the own one are written over', () => {
    const world = new World();
    world.tell({
      kind: 'upstream-announced',
      announcement: {
        incarnation: {id: 'i-1', startedAt: 0},
        service: 's',
        address: '10.0.0.1:80',
        slots: 3,
        state: 'ready',
        coldMilliseconds: 0,
        sequence: 1,
      },
    });
    world.tell({
      kind: 'write-ended',
      result: {ok: true, value: undefined, era: 1},
    });
    world.now += 1000;
    const actions = world.read([{key: 'b1', value: Buffer.from('?')}]);
    expect(actions.map(({kind}) => kind)).toContain('write');
  });

  it('throw nothing and cost nothing, whatever their bytes', () => {
    fc.assert(
      fc.property(fc.array(fc.uint8Array(), {maxLength: 6}), (all) => {
        const world = new World();
        world.read(
          all.map((value) => ({key: 'b2', value: Buffer.from(value)})),
        );
        world.expectGood();
      }),
    );
  });

  it('throw nothing and cost nothing, however near they come', () => {
    fc.assert(
      fc.property(fc.array(nearValid, {maxLength: 6}), (all) => {
        const world = new World();
        world.read(
          all.map(({key, value}) => stored({...value, slots: 'x'}, key)),
        );
        world.expectGood();
      }),
    );
  });

  it('leave only addresses, services and times that can be used', () => {
    fc.assert(
      fc.property(fc.array(nearValid, {maxLength: 6}), (all) => {
        const world = new World();
        world.read(all.map(({key, value}) => stored(value, key)));
        for (const record of world.brain.directory.all()) {
          expect(record.peerAddress).toMatch(/^[\d.:a-f[\]]+:\d+$/);
          expect(['d1', 'd2']).toContain(record.dataCentre);
          expect(record.statedAt).toBeLessThanOrEqual(NOW + 300_000);
          expect(Number.isSafeInteger(record.slots)).toBe(true);
        }
      }),
    );
  });
});
