// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Chooses an upstream of a subset by the power of two choices. */

import type {RandomSource} from '@lockpin/types';
import type {SubsetCandidate} from './chooseSubset.js';
import type {UpstreamLoads} from './upstreamLoads.js';

/** An upstream that may get a call. */
export interface RoutingCandidate extends SubsetCandidate {
  readonly slots: number;
  readonly box: string;
  /** End of its warm-up, in milliseconds since 1970; 0 when warm. */
  readonly coldUntil: number;
}

/** Inputs of a routing decision. */
export interface RoutingContext {
  readonly now: number;
  readonly random: RandomSource;
  readonly dataCentre: string;
  /** The entry's own box. */
  readonly box: string;
  readonly loads: UpstreamLoads;
  /** Whether the call may probe a doubted upstream. */
  readonly mayProbe: boolean;
}

/** Chooses an upstream; undefined only when there are no candidates. */
export type ChooseUpstream = <T extends RoutingCandidate>(
  context: RoutingContext,
  candidates: readonly T[],
) => T | undefined;

/** Occupation up to which local upstreams are preferred. */
const LOCAL_OCCUPATION_LIMIT = 1;

/**
 * Takes the less occupied of two random upstreams, in the entry's own data
 * centre while one there has room. Avoided upstreams are used only when no
 * other is left.
 */
export function chooseUpstream<T extends RoutingCandidate>(
  context: RoutingContext,
  candidates: readonly T[],
): T | undefined {
  const {loads, now, dataCentre} = context;
  const notAvoided = candidates.filter(({name}) => !loads.isAvoided(name, now));
  const usable = notAvoided.length > 0 ? notAvoided : candidates;
  const local = usable.filter(
    (item) => item.dataCentre === dataCentre && hasRoom(context, item),
  );
  return lessOccupiedOfTwo(context, local.length > 0 ? local : usable);
}

function hasRoom(context: RoutingContext, item: RoutingCandidate): boolean {
  const {loads, now} = context;
  return loads.occupation(item.name, item.slots, now) < LOCAL_OCCUPATION_LIMIT;
}

function lessOccupiedOfTwo<T extends RoutingCandidate>(
  context: RoutingContext,
  items: readonly T[],
): T | undefined {
  if (items.length < 2) {
    return items[0];
  }
  const {loads, now, random} = context;
  const firstIndex = Math.floor(random() * items.length);
  const step = 1 + Math.floor(random() * (items.length - 1));
  const first = items[firstIndex] as T;
  const second = items[(firstIndex + step) % items.length] as T;
  const occupationOf = ({name, slots}: T): number =>
    loads.occupation(name, slots, now);
  return occupationOf(second) < occupationOf(first) ? second : first;
}
