// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Who holds the permits of each service, as the log has it. */

import {isLaterPosition} from '@lockpin/utils';
import type {Fence, HolderRecord} from './messages.js';

/** The holder of a service with the fence that its record gave it. */
export interface Holder {
  readonly box: string;
  readonly incarnation: string;
  /** The one with the latest fence is the holder. */
  readonly fence: Fence;
}

/** The newest record of each service wins. */
export class HolderTable {
  private readonly holders = new Map<string, Holder>();

  /** Takes in a record; records may come again or out of order. */
  apply(fence: Fence, record: HolderRecord): boolean {
    const current = this.holders.get(record.service);
    if (current !== undefined && !isLaterPosition(fence, current.fence)) {
      return false;
    }
    const {box, incarnation} = record;
    this.holders.set(record.service, {box, incarnation, fence});
    return true;
  }

  get(service: string): Holder | undefined {
    return this.holders.get(service);
  }

  entries(): IterableIterator<[string, Holder]> {
    return this.holders.entries();
  }
}
