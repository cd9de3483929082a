// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Test harness for one guard with one upstream. */

import {UNLIMITED_RETRIES} from '@lockpin/routing';
import type {RetryAllowance} from '@lockpin/routing';
import type {Resource} from '@lockpin/types';
import {seededRandom} from '@lockpin/utils';
import {GuardStateMachine} from '../../guard/guardStateMachine.js';
import {DEFAULT_GUARD_SETTINGS} from '../../guard/guardSettings.js';
import type {GuardCall} from '../../guard/guardCall.js';
import type {GuardAction} from '../../guard/guardMessages.js';

/** Name of the service. */
export const SERVICE = 's';
/** Name of its upstream. */
export const UPSTREAM = 's/box';
const random = seededRandom(1);

/** Passes events to one guard at a given time. */
export class GuardHarness {
  now = 0;
  constructor(
    slots = 1,
    createRetryBudget: () => RetryAllowance = () => UNLIMITED_RETRIES,
    heldUpCalls: () => number = () => 0,
    private readonly guard = new GuardStateMachine(
      {box: 'box', incarnation: 'a'},
      {
        ...DEFAULT_GUARD_SETTINGS,
        hasQuickDoubt: true,
        createRetryBudget,
        heldUpCalls,
        drainFinishesQueue: false,
      },
    ),
  ) {
    this.configure({slots});
  }

  configure(
    overrides: Partial<Resource<'Upstream'>['spec']>,
  ): readonly GuardAction[] {
    const upstream: Resource<'Upstream'> = {
      kind: 'Upstream',
      name: UPSTREAM,
      version: 1,
      spec: {
        address: '127.0.0.1:1',
        dataCentre: 'd',
        box: 'box',
        slots: 1,
        connections: 9,
        state: 'in-service',
        incarnation: {id: 'i-1', startedAt: 0},
        ...overrides,
      },
    };
    return this.handle({
      kind: 'services-changed',
      services: [{name: SERVICE, sensitivity: 'fast', upstreams: [upstream]}],
    });
  }

  handle(
    event: Parameters<GuardStateMachine['handle']>[2],
  ): readonly GuardAction[] {
    return this.guard
      .handle(this.now, random, event)
      .filter(({kind}) => kind !== 'report');
  }

  offer(
    id: string,
    overrides: Partial<GuardCall> = {},
  ): readonly GuardAction[] {
    const call: GuardCall = {
      id,
      service: SERVICE,
      upstream: UPSTREAM,
      customer: 'c',
      weight: 1,
      route: 'r',
      repetition: 'repeatable',
      priority: 1,
      deadline: this.now + 10_000,
      attempt: 1,
      retryShare: 0,
      onceKey: undefined,
      requestDigest: '',
      needsGo: true,
      ...overrides,
    };
    return this.handle({kind: 'call-offered', call});
  }

  /** Offers a call and answers it with a status. */
  run(id: string, status: number): void {
    this.offer(id, {needsGo: false});
    this.handle({
      kind: 'upstream-answered',
      callId: id,
      status,
      isShed: false,
      answer: undefined,
    });
  }
}

/** Returns the reason and outcome of each refusal. */
export const refusalsOf = (actions: readonly GuardAction[]) =>
  actions.flatMap((action) =>
    action.kind === 'refuse'
      ? [`${action.refusal.reason} ${action.refusal.outcome}`]
      : [],
  );
