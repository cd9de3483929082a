// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Relays run reports within a data centre. A reader that notified all of its
 * followers itself would send a hundred times as much as any other node.
 * Instead, the nodes of a data centre form two trees below its readers, and
 * each forwards what is new to it.
 */

import {readerRank} from '@lockpin/utils';
import type {BoxDirectory} from './boxDirectory.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {preferredReaders} from './preferredReaders.js';

/** Children of each node in a tree: 229 nodes are reached in five steps. */
const FAN_OUT = 3;

/** Knows the position of this node in the trees of its data centre. */
export class RelayTree {
  private cachedChildren: readonly string[] = [];
  private cacheKey: string | undefined;

  constructor(
    private readonly identity: NodeIdentity,
    private readonly directory: BoxDirectory,
  ) {}

  /** The addresses of the nodes that this one forwards to. */
  get children(): readonly string[] {
    const {directory, identity} = this;
    const readers = preferredReaders(directory, identity.dataCentre);
    const names = readers.map(({box}) => box);
    const key = `${directory.members} ${names.join(' ')}`;
    if (key !== this.cacheKey) {
      this.cacheKey = key;
      this.cachedChildren = this.computeChildren(new Set(names));
    }
    return this.cachedChildren;
  }

  /**
   * An inner node of one tree is a leaf of the other, which has the opposite
   * order: a departed node cuts nobody off as long as the other tree is intact
   * there.
   */
  private computeChildren(readers: ReadonlySet<string>): readonly string[] {
    const {directory, identity} = this;
    const others = directory
      .all()
      .filter(
        ({box, dataCentre}) =>
          dataCentre === identity.dataCentre && !readers.has(box),
      )
      .map((record) => ({record, rank: readerRank(record.box)}))
      .sort((a, b) => a.rank - b.rank)
      .map(({record}) => record);
    const position = others.findIndex(({box}) => box === identity.box);
    if (position < 0 && !readers.has(identity.box)) {
      return [];
    }
    const mirrored = position < 0 ? position : others.length - 1 - position;
    const chosen = [
      ...childrenOf(position, others),
      ...childrenOf(mirrored, [...others].reverse()),
    ];
    return [...new Set(chosen.map(({peerAddress}) => peerAddress))];
  }
}

/** A node outside the order, at position -1, is the root. */
function childrenOf<T>(position: number, order: readonly T[]): readonly T[] {
  const first = FAN_OUT * (position + 1);
  return order.slice(first, first + FAN_OUT);
}
