// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * What a node asks its peers before it serves by what the store says for the first time.
 * A store that was restored has an older configuration than the one that operators were
 * told is in force; nodes that run know better, and a node that starts has no memory.
 */

/** Peers that are asked; one may be gone, and one have just started as well. */
export const PEERS_TO_ASK = 3;

/** A start waits no longer for what they know. */
const ANSWERS_MILLISECONDS = 400;

/** Nor for the boxes, of which the peers are known. */
const BOXES_MILLISECONDS = 1000;

/** From the first document that the store brought until it may be in force. */
export class StartCheck {
  private heldSince: number | undefined;
  private askedAt: number | undefined;
  private readonly open = new Set<string>();
  private isDone: boolean;

  /** @param isNeeded Not when the fleet starts for the first time. */
  constructor(isNeeded: boolean) {
    this.isDone = !isNeeded;
  }

  /** Whether what the store says is not to be served by yet. */
  get isHolding(): boolean {
    return !this.isDone;
  }

  /** The store has brought a document. */
  held(now: number): void {
    this.heldSince ??= now;
  }

  /** Whether the peers are to be asked now. */
  get mayAsk(): boolean {
    return this.heldSince !== undefined && this.askedAt === undefined;
  }

  /** These peers are asked; none where no other box is known. */
  asked(now: number, addresses: readonly string[]): void {
    this.askedAt = now;
    addresses.forEach((address) => this.open.add(address));
  }

  /** A peer has replied, or will not. */
  replied(address: string): void {
    this.open.delete(address);
  }

  /** What a peer has in force may be served by at once. */
  end(): void {
    this.isDone = true;
  }

  /** Ends once all have replied, or have not in time; true when it has just ended. */
  hasEnded(now: number): boolean {
    if (this.isDone || !this.isOver(now)) {
      return false;
    }
    this.isDone = true;
    return true;
  }

  private isOver(now: number): boolean {
    const {askedAt, heldSince, open} = this;
    if (askedAt === undefined) {
      return heldSince !== undefined && now - heldSince >= BOXES_MILLISECONDS;
    }
    return open.size === 0 || now - askedAt >= ANSWERS_MILLISECONDS;
  }
}
