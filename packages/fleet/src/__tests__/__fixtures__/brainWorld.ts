// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** One node's knowledge of its fleet, told events one by one. */

import {expect} from 'vitest';
import {failure, seededRandom, success} from '@lockpin/utils';
import type {BoxRecord} from '../../boxRecord.js';
import type {DeclaredConfiguration} from '../../declaredConfiguration.js';
import {FleetBrain} from '../../fleetBrain.js';
import type {FleetAction, FleetEvent} from '../../fleetMessages.js';
import type {UpstreamAnnouncement} from '../../ownUpstream.js';
import type {RecordStream, StoredRecord} from '../../recordStore.js';

/** A node in this data centre. */
export const NEAR = '10.0.0.2:7000';
/** In another data centre. */
export const FAR = '10.0.0.3:7000';

/** The node that is played. */
export const IDENTITY = {
  box: 'b1',
  dataCentre: 'd1',
  peerAddress: '10.0.0.1:7000',
};
const random = seededRandom(3);

/** A configuration that declares one service. */
export function configuration(version: number): DeclaredConfiguration {
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

/** The operators' record of a version. */
export function stored(version: number): StoredRecord {
  return {key: 'config', value: Buffer.from(String(version))};
}

/** The record of another box. */
export function other(change: Partial<BoxRecord> = {}): BoxRecord {
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

/** A write that the store has taken. */
export const WRITTEN = {ok: true, value: undefined, era: 1} as const;

/** One brain and the time. */
export class BrainWorld {
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
    const value = {
      records,
      end: {era: 1, offset: end},
      isWhole: false,
    };
    const result = {ok: true, value, era: 1} as const;
    return this.tell({
      kind: 'read-ended',
      stream,
      read: this.reads[stream],
      result,
    });
  }

  fail(stream: RecordStream, kind: 'unavailable' | 'history-gone') {
    const result = {
      ok: false,
      failure: {kind, detail: ''},
      era: undefined,
    } as const;
    return this.tell({
      kind: 'read-ended',
      stream,
      read: this.reads[stream],
      result,
    });
  }

  /** The node has read the store; the peers that it asks then know nothing newer. */
  start(
    configurations: readonly StoredRecord[],
    boxes: readonly StoredRecord[] = [],
  ) {
    this.tick();
    this.read('configuration', configurations);
    const asked = this.read('boxes', boxes);
    const knowledge = {configuration: undefined, boxes: []};
    for (const action of asked) {
      if (action.kind === 'ask-peer') {
        const {address} = action;
        this.tell({kind: 'peer-replied', address, knowledge});
      }
    }
  }

  announce(change: Partial<UpstreamAnnouncement> = {}) {
    const news = announcement(change);
    return this.tell({kind: 'upstream-announced', announcement: news});
  }

  /** Of its data centre's nodes this one is among those that read the store. */
  announceAsReader() {
    this.announce();
    this.tell({kind: 'write-ended', result: WRITTEN});
    this.tick();
    expect(this.brain.duty.isFollowing(this.now)).toBe(true);
  }

  tick(milliseconds = 0) {
    this.now += milliseconds;
    return this.tell({kind: 'tick'});
  }
}

/** What a list of actions is about. */
export const kinds = (actions: readonly FleetAction[]) =>
  actions.map(({kind}) => kind);
