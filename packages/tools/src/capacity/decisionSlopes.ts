// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Processor time and memory of single decisions. */

import {EntryStateMachine, GuardStateMachine} from '@lockpin/brain';
import type {EntryCall, GuardCall} from '@lockpin/brain';
import {FIRST_FENCE, PermitHolder} from '@lockpin/floor';
import type {GuardReport} from '@lockpin/floor';
import {Membership} from '@lockpin/membership';
import type {Member} from '@lockpin/membership';
import {OnceLedger, mintOnceKey, parseOnceKey} from '@lockpin/once';
import type {OnceKey} from '@lockpin/once';
import {seededRandom} from '@lockpin/utils';
import {createChanges, foldChanges, serviceName} from './largeConfiguration.js';
import {TARGET_SCALE} from './targetScale.js';
import {measureRetainedHeap, microsecondsPerRun} from './measureTime.js';

/** Costs of single decisions. */
export interface DecisionCosts {
  readonly entryCallMicroseconds: number;
  readonly guardCallMicroseconds: number;
  readonly holderReportMicroseconds: number;
  readonly reportBytes: number;
  readonly replyBytes: number;
  readonly onceKeyMicroseconds: number;
  readonly onceKeyBytes: number;
  readonly memberBytes: number;
  readonly membershipTickMicroseconds: number;
  readonly membershipDatagramMicroseconds: number;
}

/** Upstreams of an average service at the target scale. */
const UPSTREAMS_PER_SERVICE = Math.round(
  TARGET_SCALE.upstreams / TARGET_SCALE.services,
);
const ROUTES_PER_SERVICE = Math.round(
  TARGET_SCALE.routes / TARGET_SCALE.services,
);

/** Maximum number of kinds of call in one report. */
const REPORTED_KINDS = 7;

const BOX_IDENTITY = {box: 'box-0', incarnation: 'i0'};
const random = seededRandom(1);

/** Measures every decision on an average service of the target scale. */
export function measureDecisions(
  encodedSize: (value: unknown) => number,
): DecisionCosts {
  const {reportMicroseconds, reportBytes, replyBytes} =
    measureReports(encodedSize);
  return {
    entryCallMicroseconds: measureEntry(),
    guardCallMicroseconds: measureGuard(),
    holderReportMicroseconds: reportMicroseconds,
    reportBytes,
    replyBytes,
    ...measureOnce(),
    ...measureMembership(),
  };
}

function averageService() {
  const state = foldChanges(
    createChanges({
      customers: 1,
      services: 1,
      upstreams: UPSTREAMS_PER_SERVICE,
      routes: ROUTES_PER_SERVICE,
    }),
  );
  const view = state.service(serviceName(0));
  if (view === undefined) {
    throw new Error('the configuration reducer rejected the average service');
  }
  return view;
}

function measureEntry(): number {
  const view = averageService();
  const stateMachine = new EntryStateMachine('box-0', 'data-centre-0', {
    isUsable: () => true,
    incarnation: () => 'i0',
  });
  const route = view.routes[0] as EntryCall['route'];
  return microsecondsPerRun(20_000, (i) => {
    const id = String(i);
    const call: EntryCall = {
      id,
      view,
      route,
      customer: view.customer,
      requestDigest: '',
      bytes: 0,
      deadline: i + 1000,
      onceKey: undefined,
      isFirstWithKey: false,
      isReplayable: true,
      isCallersRetry: false,
    };
    stateMachine.handle(i, random, {kind: 'call-arrived', call});
    stateMachine.handle(i, random, {
      kind: 'attempt-answered',
      callId: id,
      status: 200,
      isWhole: true,
      hint: {state: 'accepting', occupied: 1, limit: 4},
      ranMilliseconds: 10,
    });
    stateMachine.handle(i, random, {kind: 'answer-ended', callId: id});
  });
}

function measureGuard(): number {
  const view = averageService();
  const [upstream] = view.upstreams;
  const stateMachine = new GuardStateMachine(BOX_IDENTITY);
  stateMachine.handle(0, random, {
    kind: 'services-changed',
    services: [
      {
        name: view.name,
        sensitivity: 'balanced',
        upstreams: [upstream as never],
      },
    ],
  });
  return microsecondsPerRun(20_000, (i) => {
    const call = guardCall(String(i), view.name, upstream?.name, i);
    stateMachine.handle(i, random, {kind: 'call-offered', call});
    stateMachine.handle(i, random, {
      kind: 'upstream-answered',
      callId: call.id,
      status: 200,
      isShed: false,
      answer: undefined,
    });
  });
}

function guardCall(
  id: string,
  service: string,
  upstream: string | undefined,
  now: number,
): GuardCall {
  return {
    id,
    service,
    upstream,
    customer: 'customer-0',
    weight: 1,
    route: `route-${now % ROUTES_PER_SERVICE}`,
    repetition: 'repeatable',
    priority: 5,
    deadline: now + 1000,
    attempt: 1,
    retryShare: 0.1,
    onceKey: undefined,
    requestDigest: '',
  };
}

function measureReports(encodedSize: (value: unknown) => number) {
  const upstreams = Array.from({length: UPSTREAMS_PER_SERVICE}, (_, i) => ({
    name: `customer-0/service-0/upstream-${i}`,
    slots: 4,
    inService: true,
  }));
  const holder = new PermitHolder(FIRST_FENCE, {
    floorSlots: 80,
    settleMilliseconds: 250,
    upstreams,
  });
  const reportMicroseconds = microsecondsPerRun(1000, (i) => {
    const upstream = upstreams[i % upstreams.length]?.name ?? '';
    holder.report(i, report(upstream, i));
  });
  const sample = report(upstreams[0]?.name ?? '', 9999);
  return {
    reportMicroseconds,
    reportBytes: encodedSize(sample),
    replyBytes: encodedSize(holder.report(5000, sample)),
  };
}

function report(upstream: string, sequence: number): GuardReport {
  const calls = Object.fromEntries(
    Array.from({length: REPORTED_KINDS}, (_, i) => [
      `route-${i}`,
      {weight: 5.5, failedShare: 0, slowShare: 0.01, typicalMilliseconds: 25.5},
    ]),
  );
  return {
    upstream,
    ...BOX_IDENTITY,
    sequence,
    fence: FIRST_FENCE,
    state: 'in-service',
    suspect: false,
    severity: 0,
    request: 0,
    summary: {calls, failingCustomers: []},
  };
}

function measureOnce() {
  const count = 20_000;
  const createKey = (i: number): OnceKey => {
    const key = parseOnceKey(mintOnceKey(1000 + i, random, BOX_IDENTITY));
    if (key === undefined) {
      throw new Error('a minted once key cannot be parsed');
    }
    return key;
  };
  const keys = Array.from({length: count * 5}, (_, i) => createKey(i));
  const timed = new OnceLedger(BOX_IDENTITY);
  const onceKeyMicroseconds = microsecondsPerRun(count, (i) => {
    const key = keys[i] as (typeof keys)[number];
    timed.begin(200_000, key, 'digest');
    timed.started(key.text);
    timed.ran(key.text);
  });
  const {bytes} = measureRetainedHeap(() => {
    const ledger = new OnceLedger(BOX_IDENTITY);
    for (let i = 0; i < count; i += 1) {
      const key = createKey(i);
      ledger.begin(200_000, key, `digest ${i}`);
      ledger.ran(key.text);
    }
    return ledger;
  });
  return {onceKeyMicroseconds, onceKeyBytes: bytes / count};
}

function measureMembership() {
  const context = {
    version: 1,
    digest: '0',
    era: 0,
    holders: FIRST_FENCE,
    time: {milliseconds: 0, counter: 0},
  };
  const {bytes, made: membership} = measureRetainedHeap(() => {
    const made = new Membership(member(0));
    const members = Array.from({length: TARGET_SCALE.nodes - 1}, (_, i) =>
      member(i + 1),
    );
    made.mergeMembers(0, members);
    return made;
  });
  const tick = microsecondsPerRun(
    200,
    (i) => void membership.tick(i * 100, random, context),
  );
  const other = member(1);
  const datagram = microsecondsPerRun(2000, (i) => {
    membership.receive(
      i,
      {from: other, news: [], ...context, kind: 'ping', sequence: i},
      context,
    );
  });
  return {
    memberBytes: bytes / TARGET_SCALE.nodes,
    membershipTickMicroseconds: tick,
    membershipDatagramMicroseconds: datagram,
  };
}

function member(i: number): Member {
  return {
    box: `box-${i}`,
    dataCentre: `data-centre-${i % TARGET_SCALE.dataCentres}`,
    peerAddress: `10.0.${i >> 8}.${i & 255}:7200`,
    callerAddress: `10.0.${i >> 8}.${i & 255}:7000`,
    operatorAddress: `10.0.${i >> 8}.${i & 255}:7100`,
    incarnation: 'i0',
    state: 'alive',
    refutation: 0,
    isWatching: false,
  };
}
