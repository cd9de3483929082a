// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Subsets of services, worked out once for each version of a service. */

import type {ServiceView} from '@lockpin/configuration';
import {chooseSubset} from '@lockpin/routing';
import type {RoutingCandidate, SubsetSizes} from '@lockpin/routing';

/** Remembers the subset of each service as long as its view stands. */
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

  /** The upstreams in service that this entry calls. */
  subset(view: ServiceView): readonly RoutingCandidate[] {
    const found = this.subsets.get(view);
    if (found !== undefined) {
      return found;
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
