// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Selects the nodes that read the log; the others get records from peers. */

import {readerRank} from '@lockpin/utils';
import {isUsable} from './member.js';
import type {Member} from './member.js';

/** Number of nodes in each data centre that read the log continuously. */
export const READERS_PER_DATA_CENTRE = 3;

/**
 * Whether a node is one of its data centre's log readers. If nodes disagree
 * about the members, there are only more or fewer readers for a while.
 */
export function isLogReader(own: Member, members: readonly Member[]): boolean {
  const ownRank = readerRank(own.box);
  const rankedBefore = members.filter(
    (member) =>
      member.dataCentre === own.dataCentre &&
      member.box !== own.box &&
      isUsable(member) &&
      readerRank(member.box) < ownRank,
  );
  return rankedBefore.length < READERS_PER_DATA_CENTRE;
}
