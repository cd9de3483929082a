// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The notices of upstreams that have reached one entry. */

import type {KnownNotice} from '@lockpin/types';

/** Upstreams remembered; the longest unchanged are dropped first. */
const MAXIMUM_REMEMBERED = 4096;

/**
 * Remembers the latest notice of each upstream. The entry repeats it in its
 * offers, since the guard may have restarted and forgotten it.
 */
export class NoticeMemory {
  private readonly notices = new Map<string, KnownNotice>();

  /** The notice to repeat to the guard of an upstream. */
  of(upstream: string): KnownNotice | undefined {
    return this.notices.get(upstream);
  }

  /**
   * A hint arrived, without a notice if its guard knows of none. That may be
   * because the guard has just started, so nothing is forgotten.
   */
  hinted(upstream: string, notice: KnownNotice | undefined): void {
    if (notice !== undefined) {
      this.remember(upstream, notice);
    }
  }

  /** An answer arrived; without a notice if the upstream states none. */
  answered(upstream: string, notice: KnownNotice | undefined): void {
    const known = this.notices.get(upstream);
    if (notice === undefined && known !== undefined && !known.isLeaving) {
      this.notices.delete(upstream);
    }
  }

  private remember(upstream: string, notice: KnownNotice): void {
    const known = this.notices.get(upstream);
    const hasLeft =
      known?.isLeaving === true && known.incarnation === notice.incarnation;
    this.notices.delete(upstream);
    this.notices.set(upstream, {
      ...notice,
      isLeaving: notice.isLeaving || hasLeft,
    });
    if (this.notices.size > MAXIMUM_REMEMBERED) {
      const [oldest] = this.notices.keys();
      this.notices.delete(oldest as string);
    }
  }
}
