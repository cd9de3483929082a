// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which nodes read the log; the others hear of records from their peers. */

import {readerRank} from '@lockpin/utils';
import {isUsable} from './member.js';
import type {Member} from './member.js';

/** Nodes of each data centre that read the log all the time. */
export const READERS_PER_DATA_CENTRE = 3;

/**
 * Whether a node is one of its data centre's readers. Nodes that disagree
 * about the members only make for more readers, or fewer for a while.
 */
export function isLogReader(own: Member, members: readonly Member[]): boolean {
  const ownRank = readerRank(own.box);
  const before = members.filter(
    (member) =>
      member.dataCentre === own.dataCentre &&
      member.box !== own.box &&
      isUsable(member) &&
      readerRank(member.box) < ownRank,
  );
  return before.length < READERS_PER_DATA_CENTRE;
}
