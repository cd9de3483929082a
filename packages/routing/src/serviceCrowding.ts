// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Whether the upstreams of a service are so busy that offers to them fail. */

/** Weight of the newest offer in the share of offers that found no free slot. */
const OFFER_WEIGHT = 0.1;

/**
 * Above this share calls are spread rather than sent in the order that all
 * entries share. With half of all slots taken, an offer to an upstream chosen at
 * random finds all four of its slots taken about one time in eight.
 */
const CROWDED_SHARE = 0.12;

/** Learns from the offers of one entry; one share for each service. */
export class ServiceCrowding {
  private readonly shares = new Map<string, number>();

  /** An offer found a free slot, or was refused for want of one. */
  offered(service: string, foundSlot: boolean): void {
    const before = this.shares.get(service) ?? 0;
    const found = foundSlot ? 0 : 1;
    this.shares.set(service, before + OFFER_WEIGHT * (found - before));
  }

  /** Whether calls had better be spread over all upstreams. */
  isCrowded(service: string): boolean {
    return (this.shares.get(service) ?? 0) > CROWDED_SHARE;
  }
}
