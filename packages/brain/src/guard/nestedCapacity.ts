// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Services that have refused nested calls of this box for lack of capacity. */

/**
 * Refusals without a served call in between that show a shortage. A single one
 * is often chance: if 0.1 of the nested calls are refused, blocking after each
 * refuses 0.15 of the calls, after two in a row 0.01.
 */
const REFUSALS_IN_A_ROW = 2;

/**
 * A refusal counts as the present state of a service until its retry-after time,
 * at most for this long, and for this long if it has none.
 */
const FIRST_INTERVAL_MILLISECONDS = 1000;

/** Nested calls take about this long, so that an earlier check is no use. */
const SHORTEST_INTERVAL_MILLISECONDS = 100;

/**
 * Longest interval between checks of a service that goes on refusing. The calls
 * of a box are to be served again within 3 s of the end of an overload.
 */
const LONGEST_INTERVAL_MILLISECONDS = 2000;

/** A shortage that no call has checked for this long is forgotten. */
const FORGET_MILLISECONDS = 5000;

/** A service that lacks capacity for a call. */
export interface NestedShortage {
  readonly service: string;
  /** Time until a call that needs it may start. */
  readonly milliseconds: number;
  /** The most urgent priority that was refused. */
  readonly priority: number;
  /** Milliseconds since the last refusal. */
  readonly age: number;
}

interface Shortage {
  readonly service: string;
  /** Calls with refused nested calls since a nested call was last served. */
  refusals: number;
  /** The call whose nested call was refused last; it counts once. */
  parent: string;
  /** The most urgent priority that was refused. */
  priority: number;
  refusedAt: number;
  /** No call that needs the service starts before this time. */
  until: number;
  /** Time from a refusal to the next check, in milliseconds. */
  interval: number;
  /** The call that was admitted to check the service, until it ends. */
  checkId: string | undefined;
}

/**
 * Estimates whether a service has capacity for calls of a priority. After refusals
 * it has none for their priority and less urgent ones, until a call of such a
 * priority is served. One call per interval is admitted to check.
 */
export class NestedCapacity {
  private readonly shortages = new Map<string, Shortage>();

  /**
   * Records that a nested call was refused because no slot was free in time.
   * @param parent Identifies the call that made it.
   * @param retryAfter Retry-after time of the refusal, in milliseconds.
   */
  refused(
    now: number,
    service: string,
    priority: number,
    parent: string,
    retryAfter = FIRST_INTERVAL_MILLISECONDS,
  ): void {
    const known = this.shortages.get(service);
    const isFailedCheck = known?.checkId !== undefined;
    const interval = known?.interval ?? firstInterval(retryAfter);
    const next = isFailedCheck
      ? Math.min(LONGEST_INTERVAL_MILLISECONDS, interval * 2)
      : interval;
    this.shortages.set(service, {
      service,
      refusedAt: now,
      refusals: (known?.refusals ?? 0) + (known?.parent === parent ? 0 : 1),
      parent,
      priority: Math.min(priority, known?.priority ?? priority),
      until: now + next,
      interval: next,
      checkId: undefined,
    });
  }

  /** Records that a nested call was served. */
  served(service: string, priority: number): void {
    const known = this.shortages.get(service);
    if (known !== undefined && priority >= known.priority) {
      this.shortages.delete(service);
    }
  }

  /**
   * The longest shortage that keeps a call that needs these services from
   * starting now.
   */
  shortage(
    now: number,
    services: readonly string[],
    priority: number,
  ): NestedShortage | undefined {
    const [longest] = [...this.shortagesOf(now, services, priority)].sort(
      (a, b) => b.until - a.until,
    );
    return longest === undefined || longest.until <= now
      ? undefined
      : {
          service: longest.service,
          milliseconds: longest.until - now,
          priority: longest.priority,
          age: now - longest.refusedAt,
        };
  }

  /** Records that a call got its slot; it checks services that are short. */
  admitted(
    now: number,
    callId: string,
    services: readonly string[],
    priority: number,
  ): void {
    for (const shortage of this.shortagesOf(now, services, priority)) {
      shortage.until = now + shortage.interval;
      shortage.checkId = callId;
    }
  }

  /** A call has ended; if it was a check without result, another may follow. */
  ended(now: number, callId: string): void {
    for (const shortage of this.shortages.values()) {
      if (shortage.checkId === callId) {
        shortage.checkId = undefined;
        shortage.until = now;
      }
    }
  }

  private shortagesOf(
    now: number,
    services: readonly string[],
    priority: number,
  ): readonly Shortage[] {
    return services.flatMap((service) => {
      const shortage = this.shortages.get(service);
      if (shortage === undefined) {
        return [];
      }
      if (now - shortage.until > FORGET_MILLISECONDS) {
        this.shortages.delete(service);
        return [];
      }
      const isShort = shortage.refusals >= REFUSALS_IN_A_ROW;
      return isShort && priority >= shortage.priority ? [shortage] : [];
    });
  }
}

function firstInterval(retryAfter: number): number {
  return Math.max(
    SHORTEST_INTERVAL_MILLISECONDS,
    Math.min(FIRST_INTERVAL_MILLISECONDS, retryAfter),
  );
}
