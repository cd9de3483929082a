// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Member updates that are still to be disseminated. */

import type {Member} from './member.js';

/** Times each update is sent, per power of ten of the fleet size. */
const SENDS_PER_MAGNITUDE = 4;

interface Item {
  readonly member: Member;
  sends: number;
}

/** Sends the least-sent updates first, each a bounded number of times. */
export class UpdateQueue {
  private readonly items = new Map<string, Item>();

  /** Adds an update, which replaces an older one of the same box. */
  add(member: Member): void {
    this.items.set(member.box, {member, sends: 0});
  }

  /** Takes up to `limit` updates to send once more. */
  take(limit: number, fleetSize: number): readonly Member[] {
    const maxSends = SENDS_PER_MAGNITUDE * Math.ceil(Math.log10(fleetSize + 1));
    const chosen = [...this.items.values()]
      .sort((a, b) => a.sends - b.sends)
      .slice(0, limit);
    for (const item of chosen) {
      item.sends += 1;
      if (item.sends >= maxSends) {
        this.items.delete(item.member.box);
      }
    }
    return chosen.map(({member}) => member);
  }
}
