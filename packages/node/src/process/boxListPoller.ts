// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Polls the platform's list of boxes, at longer intervals the longer it is. */

import type {ListedBox} from '@lockpin/brain';
import type {Clock} from '@lockpin/types';

/** Bandwidth limit for reading the list, in bytes per second. */
const BYTES_PER_SECOND = 500;
const MINIMUM_INTERVAL_MILLISECONDS = 2000;
const BYTES_PER_BOX = 100;

/** Dependencies of the poller. */
export interface BoxListSource {
  readonly clock: Clock;
  readonly listBoxes: () => Promise<readonly ListedBox[] | undefined>;
}

/** Polls the list, one read at a time. */
export class BoxListPoller {
  private nextAt = 0;
  private isReading = false;

  constructor(
    private readonly source: BoxListSource,
    private readonly onBoxes: (boxes: readonly ListedBox[]) => void,
  ) {}

  /** Starts a read if one is due. */
  tick(): void {
    if (!this.isReading && this.source.clock() >= this.nextAt) {
      void this.read();
    }
  }

  private async read(): Promise<void> {
    this.isReading = true;
    const boxes = await this.source.listBoxes();
    this.isReading = false;
    this.nextAt = this.source.clock() + interval(boxes?.length ?? 0);
    if (boxes !== undefined) {
      this.onBoxes(boxes);
    }
  }
}

function interval(count: number): number {
  const bytes = count * BYTES_PER_BOX;
  return Math.max(
    MINIMUM_INTERVAL_MILLISECONDS,
    (bytes / BYTES_PER_SECOND) * 1000,
  );
}
