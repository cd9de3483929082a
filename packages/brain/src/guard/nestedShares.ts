// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How often the calls of a kind call which services. */

/** Weight of the latest call of a kind in the shares. */
const LATEST_WEIGHT = 0.05;

/**
 * A kind of call needs a service if a call of that kind is more likely to call
 * it than not. Refusing calls of other kinds for lack of that service would
 * refuse more calls than fail.
 */
const NEEDED_SHARE = 0.5;

interface KindShares {
  calls: number;
  /** Decayed share of the calls that called a service, by service. */
  readonly byService: Map<string, number>;
}

/** Learns decayed shares from calls that have ended. */
export class NestedShares {
  private readonly kinds = new Map<string, KindShares>();

  /** Records a call that has ended, with the services that it called. */
  add(kind: string, called: ReadonlySet<string>): void {
    const shares = this.kinds.get(kind) ?? {calls: 0, byService: new Map()};
    this.kinds.set(kind, shares);
    shares.calls += 1;
    const weight = Math.max(LATEST_WEIGHT, 1 / shares.calls);
    for (const service of new Set([...shares.byService.keys(), ...called])) {
      const share = shares.byService.get(service) ?? 0;
      const latest = called.has(service) ? 1 : 0;
      shares.byService.set(service, share + weight * (latest - share));
    }
  }

  /** The services that calls of a kind are likely to call. */
  neededBy(kind: string): readonly string[] {
    const byService = this.kinds.get(kind)?.byService ?? new Map();
    return [...byService]
      .filter(([, share]) => share >= NEEDED_SHARE)
      .map(([service]) => service);
  }
}
