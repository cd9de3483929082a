// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Feeds single events to the fleet state machine of one node. */

import {expect} from 'vitest';
import {failure, seededRandom, success} from '@lockpin/utils';
import type {BoxRecord} from '../../boxRecord.js';
import type {DeclaredConfiguration} from '../../declaredConfiguration.js';
import {FleetStateMachine} from '../../fleetStateMachine.js';
import type {FleetAction, FleetEvent} from '../../fleetMessages.js';
import type {UpstreamAnnouncement} from '../../ownUpstream.js';
import type {RecordStream, StoredRecord} from '../../recordStore.js';

/** Address of a peer in the node's own data centre. */
export const LOCAL_PEER_ADDRESS = '10.0.0.2:7000';
/** Address of a peer in another data centre. */
export const REMOTE_PEER_ADDRESS = '10.0.0.3:7000';

/** Identity of the node under test. */
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

/** The stored record of a configuration version. */
export function configurationRecord(version: number): StoredRecord {
  return {key: 'config', value: Buffer.from(String(version))};
}

/** The record of another box. */
export function otherBoxRecord(change: Partial<BoxRecord> = {}): BoxRecord {
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

/** The result of a successful write. */
export const WRITE_SUCCESS = {ok: true, value: undefined, era: 1} as const;

/** A fleet state machine and its clock. */
export class StateMachineHarness {
  now = 1000;
  readonly stateMachine = new FleetStateMachine(IDENTITY, (record) => {
    const version = Number(record.value?.toString());
    if (record.key !== 'config') {
      return success(undefined);
    }
    return Number.isNaN(version)
      ? failure({field: 'version', problem: 'give a number'})
      : success(configuration(version));
  });

  /** Number of the newest read of each stream. */
  private readonly latestReads = {configuration: 0, boxes: 0};

  handle(event: FleetEvent): readonly FleetAction[] {
    const actions = this.stateMachine.handle(this.now, random, event);
    for (const action of actions) {
      if (action.kind === 'read-newest' || action.kind === 'follow') {
        this.latestReads[action.stream] = action.read;
      }
    }
    return actions;
  }

  completeRead(
    stream: RecordStream,
    records: readonly StoredRecord[],
    end = 1,
  ) {
    const value = {
      records,
      end: {era: 1, offset: end},
      isWhole: false,
    };
    const result = {ok: true, value, era: 1} as const;
    return this.handle({
      kind: 'read-ended',
      stream,
      read: this.latestReads[stream],
      result,
    });
  }

  failRead(stream: RecordStream, kind: 'unavailable' | 'history-gone') {
    const result = {
      ok: false,
      failure: {kind, detail: ''},
      era: undefined,
    } as const;
    return this.handle({
      kind: 'read-ended',
      stream,
      read: this.latestReads[stream],
      result,
    });
  }

  /** Completes the first reads; the queried peers reply with nothing newer. */
  start(
    configurations: readonly StoredRecord[],
    boxes: readonly StoredRecord[] = [],
  ) {
    this.tick();
    this.completeRead('configuration', configurations);
    const actions = this.completeRead('boxes', boxes);
    const peerReply = {configuration: undefined, boxes: []};
    for (const action of actions) {
      if (action.kind === 'query-peer') {
        const {address} = action;
        this.handle({kind: 'peer-replied', address, reply: peerReply});
      }
    }
  }

  announce(change: Partial<UpstreamAnnouncement> = {}) {
    const message = announcement(change);
    return this.handle({kind: 'upstream-announced', announcement: message});
  }

  /** Announces the upstream, after which the node is a reader of the store. */
  becomeReader() {
    this.announce();
    this.handle({kind: 'write-ended', result: WRITE_SUCCESS});
    this.tick();
    expect(this.stateMachine.readerRole.isReadingStore(this.now)).toBe(true);
  }

  tick(milliseconds = 0) {
    this.now += milliseconds;
    return this.handle({kind: 'tick'});
  }
}

/** The kinds of a list of actions. */
export const kinds = (actions: readonly FleetAction[]) =>
  actions.map(({kind}) => kind);
