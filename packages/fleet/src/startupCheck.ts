// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Queries peers at startup before the first configuration from the store comes
 * into force. A restored store may hold an older configuration than the one
 * that operators were told is in force; running nodes know the newer one, while
 * a starting node has no state.
 */

/**
 * Number of peers queried; one may be gone, and one may have just started as
 * well.
 */
export const STARTUP_PEERS = 3;

/** How long a start waits for replies. */
const REPLY_TIMEOUT_MILLISECONDS = 400;

/** How long it waits for the box records that name the peers. */
const BOXES_MILLISECONDS = 1000;

/** From the first document read from the store until it may come into force. */
export class StartupCheck {
  private loadedAt: number | undefined;
  private queriedAt: number | undefined;
  private readonly pending = new Set<string>();
  private isDone: boolean;

  /** @param isNeeded False if the fleet starts for the first time. */
  constructor(isNeeded: boolean) {
    this.isDone = !isNeeded;
  }

  /** Whether configurations from the store must not come into force yet. */
  get isHolding(): boolean {
    return !this.isDone;
  }

  /** The store delivered a document. */
  held(now: number): void {
    this.loadedAt ??= now;
  }

  /** Whether the peers are to be queried now. */
  get shouldQueryPeers(): boolean {
    return this.loadedAt !== undefined && this.queriedAt === undefined;
  }

  /** These peers were queried; empty if no other box is known. */
  queriesSent(now: number, addresses: readonly string[]): void {
    this.queriedAt = now;
    addresses.forEach((address) => this.pending.add(address));
  }

  /** A peer replied or timed out. */
  replied(address: string): void {
    this.pending.delete(address);
  }

  /** Ends the check: a configuration that a peer has in force needs none. */
  end(): void {
    this.isDone = true;
  }

  /**
   * Ends the check once all peers replied or timed out; true only when it ends.
   */
  hasEnded(now: number): boolean {
    if (this.isDone || !this.isOver(now)) {
      return false;
    }
    this.isDone = true;
    return true;
  }

  private isOver(now: number): boolean {
    const {queriedAt, loadedAt, pending} = this;
    if (queriedAt === undefined) {
      return loadedAt !== undefined && now - loadedAt >= BOXES_MILLISECONDS;
    }
    return pending.size === 0 || now - queriedAt >= REPLY_TIMEOUT_MILLISECONDS;
  }
}
