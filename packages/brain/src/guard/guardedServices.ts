// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** State that the guard keeps for each service and upstream of its box. */

import {OnceLedger} from '@lockpin/once';
import type {OnceHome} from '@lockpin/once';
import type {RetryAllowance} from '@lockpin/routing';
import type {RandomSource, Resource} from '@lockpin/types';
import {NO_FENCE} from '@lockpin/floor';
import type {Fence} from '@lockpin/floor';
import {isSameIncarnation} from '@lockpin/utils';
import type {GuardCall} from './guardCall.js';
import type {GuardedService} from './guardMessages.js';
import type {GuardSettings} from './guardSettings.js';
import {UpstreamGuard} from './upstreamGuard.js';

/** State of one service. */
export interface ServiceState {
  guarded: GuardedService;
  /** Kept as long as the process lives, whatever the configuration does. */
  readonly ledger: OnceLedger;
  /** Kept as long as the process lives, since it tracks the retries spent. */
  readonly retries: RetryAllowance;
  /** The latest fence known; permits with an earlier one are not accepted. */
  fence: Fence;
}

/** Follows the configuration; services are kept after they are removed. */
export class GuardedServices {
  private readonly states = new Map<string, ServiceState>();
  private readonly guards = new Map<string, UpstreamGuard>();

  constructor(
    private readonly home: OnceHome,
    private readonly settings: GuardSettings,
  ) {}

  all(): IterableIterator<ServiceState> {
    return this.states.values();
  }

  get(service: string): ServiceState | undefined {
    return this.states.get(service);
  }

  upstreams(): IterableIterator<UpstreamGuard> {
    return this.guards.values();
  }

  upstream(name: string): UpstreamGuard | undefined {
    return this.guards.get(name);
  }

  /** The guards of a service's upstreams on this box. */
  guardsOf({guarded}: ServiceState): readonly UpstreamGuard[] {
    return guarded.upstreams.flatMap(({name}) => this.guards.get(name) ?? []);
  }

  /** The service that an upstream belongs to. */
  serviceOf(upstream: UpstreamGuard): ServiceState | undefined {
    return [...this.states.values()].find(({guarded}) =>
      guarded.upstreams.some(({name}) => name === upstream.name),
    );
  }

  /**
   * Applies the configuration of this box. Returns the former guards of
   * upstreams whose processes must have ended, because new ones have taken over
   * their ids.
   */
  configure(services: readonly GuardedService[]): readonly UpstreamGuard[] {
    const replaced: UpstreamGuard[] = [];
    const names = new Set<string>();
    for (const service of services) {
      const state = this.state(service);
      state.guarded = service;
      for (const resource of service.upstreams) {
        names.add(resource.name);
        replaced.push(...this.configureUpstream(state, resource));
      }
    }
    this.removeUpstreamsExcept(names);
    return replaced;
  }

  /** Returns the former guard if a new process took over its upstream's id. */
  private configureUpstream(
    {guarded, retries}: ServiceState,
    resource: Resource<'Upstream'>,
  ): readonly UpstreamGuard[] {
    const {name} = resource;
    const {sensitivity} = guarded;
    const {incarnation} = resource.spec;
    const found = this.guards.get(name);
    if (
      found !== undefined &&
      isSameIncarnation(found.incarnation, incarnation)
    ) {
      found.configure(resource, sensitivity);
      return [];
    }
    // Evidence about another process does not apply to this one.
    this.guards.set(
      name,
      new UpstreamGuard(
        name,
        resource,
        sensitivity,
        this.settings,
        retries,
        guarded.name,
      ),
    );
    const hasSameId = found?.incarnation?.id === incarnation?.id;
    return found !== undefined && hasSameId ? [found] : [];
  }

  /** The upstream named by the call; the least occupied for once-only calls. */
  chooseUpstream(
    now: number,
    call: GuardCall,
    random: RandomSource,
  ): UpstreamGuard | undefined {
    if (call.upstream !== undefined) {
      return this.guards.get(call.upstream);
    }
    const state = this.states.get(call.service);
    const own = state === undefined ? [] : this.guardsOf(state);
    const open = own.filter((guard) => guard.hint(now).state === 'accepting');
    const free = open.filter(
      (guard) => guard.hint(now).availableIn === undefined,
    );
    const usable = [free, open].find(({length}) => length > 0) ?? own;
    const least = Math.min(...usable.map(({occupied}) => occupied));
    const candidates = usable.filter(({occupied}) => occupied === least);
    return candidates[Math.floor(random() * candidates.length)];
  }

  /** The ledger of a once-only call; undefined for any other. */
  ledgerOf(call: GuardCall): OnceLedger | undefined {
    return call.repetition === 'once-only'
      ? this.states.get(call.service)?.ledger
      : undefined;
  }

  private state(guarded: GuardedService): ServiceState {
    const found = this.states.get(guarded.name);
    if (found !== undefined) {
      return found;
    }
    const created = {
      guarded,
      ledger: new OnceLedger(this.home),
      retries: this.settings.createRetryBudget(guarded.name),
      fence: NO_FENCE,
    };
    this.states.set(guarded.name, created);
    return created;
  }

  private removeUpstreamsExcept(known: ReadonlySet<string>): void {
    for (const name of this.guards.keys()) {
      if (!known.has(name)) {
        this.guards.delete(name);
      }
    }
    for (const state of this.states.values()) {
      const upstreams = state.guarded.upstreams.filter(({name}) =>
        known.has(name),
      );
      state.guarded = {...state.guarded, upstreams};
    }
  }
}
