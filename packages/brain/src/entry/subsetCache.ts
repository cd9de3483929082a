// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Caches the subset of each service until its configuration changes. */

import type {ServiceView} from '@lockpin/configuration';
import {chooseSubset} from '@lockpin/routing';
import type {RoutingCandidate, SubsetSizes} from '@lockpin/routing';

/** Subsets by service view; a new version of a service has a new view. */
export class SubsetCache {
  private readonly subsets = new WeakMap<
    ServiceView,
    readonly RoutingCandidate[]
  >();

  constructor(
    private readonly box: string,
    private readonly dataCentre: string,
    private readonly sizes: SubsetSizes,
  ) {}

  /** The in-service upstreams that this entry calls. */
  subset(view: ServiceView): readonly RoutingCandidate[] {
    const cached = this.subsets.get(view);
    if (cached !== undefined) {
      return cached;
    }
    const members = view.upstreams
      .filter(({spec}) => spec.state === 'in-service')
      .map(({name, spec}) => {
        const {dataCentre, slots, box, coldUntil = 0} = spec;
        return {name, dataCentre, slots, box, coldUntil};
      });
    const {box, dataCentre, sizes} = this;
    const subset = chooseSubset(box, dataCentre, members, sizes);
    this.subsets.set(view, subset);
    return subset;
  }
}
