// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * HTTP connections to one address that may go silent without being closed. All
 * connections of a pool may fail together, so a call that is overdue puts the
 * whole pool in doubt, unless other calls are answered meanwhile: a server that
 * is only slow is called on connections that are open.
 */

import {steadyClock} from '@lockpin/utils';
import type {Pool} from 'undici';

/** An answer that is later than expected by this much may never arrive. */
const OVERDUE_MILLISECONDS = 400;

/** A call that has not ended. */
interface PendingCall {
  /** When its answer is expected. */
  readonly dueAt: number;
}

/** Replaces its pool when a call is overdue, so that later ones reconnect. */
export class RenewedPool {
  private pool: Pool;
  private lastAnswerAt = Number.NEGATIVE_INFINITY;
  private readonly pending = new Set<PendingCall>();

  constructor(private readonly createPool: () => Pool) {
    this.pool = createPool();
  }

  /**
   * Makes a call on connections that are not in doubt.
   * @param expectedMilliseconds Time after which the answer is due.
   * @throws What the call throws.
   */
  async run<T>(
    expectedMilliseconds: number,
    call: (pool: Pool) => Promise<T>,
  ): Promise<T> {
    this.renewIfOverdue();
    const {pool} = this;
    const pending = {dueAt: steadyClock() + expectedMilliseconds};
    this.pending.add(pending);
    try {
      const answer = await call(pool);
      this.lastAnswerAt = steadyClock();
      return answer;
    } catch (error) {
      this.renewIfOverdue();
      throw error;
    } finally {
      this.pending.delete(pending);
    }
  }

  /** Closes the connections; calls that are pending fail. */
  async destroy(): Promise<void> {
    await this.pool.destroy();
  }

  private renewIfOverdue(): void {
    const now = steadyClock();
    const isInDoubt = [...this.pending].some(
      ({dueAt}) =>
        now >= dueAt + OVERDUE_MILLISECONDS && this.lastAnswerAt < dueAt,
    );
    if (!isInDoubt) {
      return;
    }
    this.pending.clear();
    // Closes once its pending calls have ended.
    void this.pool.close();
    this.pool = this.createPool();
  }
}
