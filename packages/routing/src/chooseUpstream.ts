// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which upstream of a subset gets a call. */

import type {RandomSource} from '@lockpin/types';
import type {SubsetCandidate} from './chooseSubset.js';
import type {UpstreamLoads} from './upstreamLoads.js';

/** An upstream that may get a call. */
export interface RoutingCandidate extends SubsetCandidate {
  readonly slots: number;
  readonly box: string;
  /** It answers slowly until then, in milliseconds since 1970; 0 when warm. */
  readonly coldUntil: number;
}

/** What is known of the world when a call is routed. */
export interface RoutingContext {
  readonly now: number;
  readonly random: RandomSource;
  readonly dataCentre: string;
  /** The entry's own box. */
  readonly box: string;
  readonly loads: UpstreamLoads;
  /** The call may find out how a doubted upstream is. */
  readonly mayProbe: boolean;
}

/** A way to choose an upstream; undefined only when there is no candidate. */
export type ChooseUpstream = <T extends RoutingCandidate>(
  context: RoutingContext,
  candidates: readonly T[],
) => T | undefined;

/** Share of its limit up to which an upstream nearby is preferred. */
const ROOM_NEARBY = 1;

/**
 * Takes the less occupied of two random upstreams, in the entry's own data
 * centre while one there has room. Upstreams that the entry routes around are
 * taken only when nothing else is left.
 */
export function chooseUpstream<T extends RoutingCandidate>(
  context: RoutingContext,
  candidates: readonly T[],
): T | undefined {
  const {loads, now, dataCentre} = context;
  const open = candidates.filter(({name}) => !loads.isAvoided(name, now));
  const usable = open.length > 0 ? open : candidates;
  const nearby = usable.filter(
    (item) => item.dataCentre === dataCentre && hasRoom(context, item),
  );
  return lessOccupiedOfTwo(context, nearby.length > 0 ? nearby : usable);
}

function hasRoom(context: RoutingContext, item: RoutingCandidate): boolean {
  const {loads, now} = context;
  return loads.occupation(item.name, item.slots, now) < ROOM_NEARBY;
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
