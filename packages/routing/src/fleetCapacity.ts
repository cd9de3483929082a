// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The newest knowledge of the spare capacity of upstreams, of any source. */

import type {LoadHint} from './loadHint.js';

/** The capacity of an upstream as its guard reported it. */
export interface CapacityReport {
  /** Whether the guard takes ordinary calls. */
  readonly isAccepting: boolean;
  /** Calls running and queued. */
  readonly occupied: number;
  /** Calls that run concurrently. */
  readonly limit: number;
  /** Milliseconds until a usual call gets a slot; 0 when one is free. */
  readonly slotIn: number;
  /** Retries that the guard pays for; undefined when not limited or unknown. */
  readonly retriesLeft: number | undefined;
  /** Share of recent calls that the upstream rejected, from 0 to 1. */
  readonly rejectedShare: number;
  /** When the guard reported it, by the clock of this box. */
  readonly at: number;
}

/** The capacity of one upstream as it is passed on from box to box. */
export interface CapacityRow {
  /** The last part of the upstream's name: in a declared fleet, its box. */
  readonly box: string;
  readonly occupied: number;
  readonly limit: number;
  readonly slotIn?: number;
  readonly retriesLeft?: number;
  readonly rejectedShare?: number;
  /** Milliseconds since the guard reported it. */
  readonly age: number;
}

/** What an entry knows of the capacity of a service. */
export interface CapacitySummary {
  readonly service: string;
  /** Upstreams with a fresh report of a guard that accepts calls. */
  readonly upstreams: number;
  /** Slots that are free on them. */
  readonly freeSlots: number;
  /** Retries that their guards still pay for; 0 if they are not limited. */
  readonly retriesLeft: number;
}

/** Knowledge that is older decides nothing and is not passed on. */
export const FRESH_MILLISECONDS = 1000;

/** Rows in a reply: some 120 bytes. */
const MAXIMUM_ROWS = 6;

/** Upstreams remembered of each service; the longest unchanged go first. */
const MAXIMUM_REMEMBERED = 512;

/** Time constant of the average occupation of the upstream of the own box. */
const AVERAGE_MILLISECONDS = 3000;

/** Rejections change slowly, unlike the number of running calls. */
const REJECTIONS_VALID_MILLISECONDS = 3000;

/** An upstream that rejects this share of its calls counts as rejecting. */
const REJECTING_SHARE = 0.2;

/** Upstreams that must be known, and the share of them that must reject. */
const MINIMUM_KNOWN = 3;
const COMMON_SHARE = 0.6;
const NO_REPORTS: ReadonlyMap<string, CapacityReport> = new Map();

/** Keeps one report for each upstream, whoever passed it on. */
export class FleetCapacity {
  private readonly averages = new Map<
    string,
    {readonly occupation: number; readonly at: number}
  >();
  private readonly services = new Map<string, Map<string, CapacityReport>>();

  /** Records a report of the guard itself. */
  hinted(upstream: string, now: number, hint: LoadHint): void {
    const {occupied, limit, slotIn = 0, availableIn = 0} = hint;
    const {retriesLeft, rejectedShare = 0} = hint;
    this.learn(serviceOf(upstream), upstream, {
      isAccepting: hint.state === 'accepting',
      occupied,
      limit,
      slotIn: Math.max(slotIn, availableIn),
      retriesLeft,
      rejectedShare,
      at: now,
    });
  }

  /** Records a report of this box's guard, and its average over time. */
  ownHinted(upstream: string, now: number, hint: LoadHint): void {
    this.hinted(upstream, now, hint);
    const occupation = hint.occupied / Math.max(1, hint.limit);
    const known = this.averages.get(upstream) ?? {occupation, at: now};
    const weight = Math.exp((known.at - now) / AVERAGE_MILLISECONDS);
    this.averages.set(upstream, {
      occupation: known.occupation * weight + occupation * (1 - weight),
      at: now,
    });
  }

  /** Average share of its slots that are taken; only for the own box. */
  averageOccupation(upstream: string): number | undefined {
    return this.averages.get(upstream)?.occupation;
  }

  /**
   * An offer was sent there: what is known does not include it. Until newer
   * knowledge arrives, further calls must not count on the same slot.
   */
  sent(upstream: string, isRetry: boolean): void {
    const reports = this.services.get(serviceOf(upstream));
    const known = reports?.get(upstream);
    if (reports === undefined || known === undefined) {
      return;
    }
    const {occupied, limit, slotIn, retriesLeft} = known;
    const turn = Math.max(1, occupied + 1 - limit);
    reports.set(upstream, {
      ...known,
      occupied: occupied + 1,
      slotIn: slotIn * (1 + 1 / turn),
      retriesLeft:
        isRetry && retriesLeft !== undefined
          ? Math.max(0, retriesLeft - 1)
          : retriesLeft,
    });
  }

  /** Records what another box passed on; older knowledge is ignored. */
  rowsReceived(
    service: string,
    now: number,
    rows: readonly CapacityRow[],
  ): void {
    for (const row of rows) {
      const {box, occupied, limit, slotIn = 0, retriesLeft, age} = row;
      this.learn(service, `${service}/${box}`, {
        isAccepting: true,
        occupied,
        limit,
        slotIn,
        retriesLeft,
        rejectedShare: row.rejectedShare ?? 0,
        at: now - Math.max(0, age),
      });
    }
  }

  /** The newest reports on the upstreams of a service, by their names. */
  ofService(service: string): ReadonlyMap<string, CapacityReport> {
    return this.services.get(service) ?? NO_REPORTS;
  }

  /** The newest report on an upstream, of whatever age. */
  latest(upstream: string): CapacityReport | undefined {
    return this.services.get(serviceOf(upstream))?.get(upstream);
  }

  /** What is known of each service from fresh reports, for metrics. */
  summaries(now: number): readonly CapacitySummary[] {
    return [...this.services].map(([service, reports]) => {
      const fresh = [...reports.values()].filter(
        ({at, isAccepting}) => isAccepting && now - at <= FRESH_MILLISECONDS,
      );
      return {
        service,
        upstreams: fresh.length,
        freeSlots: fresh.reduce(
          (sum, {limit, occupied}) => sum + Math.max(0, limit - occupied),
          0,
        ),
        retriesLeft: fresh.reduce(
          (sum, {retriesLeft = 0}) => sum + retriesLeft,
          0,
        ),
      };
    });
  }

  /**
   * The shortest wait for a slot of a service in milliseconds, from fresh
   * reports; undefined without any.
   */
  shortestWait(service: string, now: number): number | undefined {
    let shortest: number | undefined;
    for (const report of this.services.get(service)?.values() ?? []) {
      if (report.isAccepting && now - report.at <= FRESH_MILLISECONDS) {
        shortest = Math.min(shortest ?? report.slotIn, report.slotIn);
      }
    }
    return shortest;
  }

  /**
   * Whether most upstreams of a service reject calls. A few are not enough to
   * tell, since several upstreams may fail in the same way by themselves.
   */
  areRejectionsCommon(service: string, now: number): boolean {
    let known = 0;
    let rejecting = 0;
    for (const {at, rejectedShare} of this.services.get(service)?.values() ??
      []) {
      if (now - at <= REJECTIONS_VALID_MILLISECONDS) {
        known += 1;
        rejecting += rejectedShare >= REJECTING_SHARE ? 1 : 0;
      }
    }
    return known >= MINIMUM_KNOWN && rejecting >= known * COMMON_SHARE;
  }

  /**
   * What to pass on with a reply of an upstream: the newest knowledge of others
   * of its service, and first of those that the receiver can use.
   */
  rowsFor(
    service: string,
    upstream: string,
    now: number,
    isUsable: (report: CapacityReport) => boolean = () => false,
  ): readonly CapacityRow[] {
    const known = [...(this.services.get(service) ?? [])].filter(
      ([name, {at, isAccepting}]) =>
        name !== upstream && isAccepting && now - at <= FRESH_MILLISECONDS,
    );
    const rank = ([, report]: (typeof known)[number]): number =>
      isUsable(report) ? report.at + FRESH_MILLISECONDS : report.at;
    return known
      .sort((a, b) => rank(b) - rank(a))
      .slice(0, MAXIMUM_ROWS)
      .map(([name, report]) => rowOf(name, report, now));
  }

  private learn(
    service: string,
    upstream: string,
    report: CapacityReport,
  ): void {
    const reports = this.services.get(service) ?? new Map();
    this.services.set(service, reports);
    const known = reports.get(upstream);
    if (known !== undefined && known.at > report.at) {
      return;
    }
    reports.delete(upstream);
    reports.set(upstream, report);
    if (reports.size > MAXIMUM_REMEMBERED) {
      const [oldest] = reports.keys();
      reports.delete(oldest as string);
    }
  }
}

/** Whether an upstream has a free slot according to a report. */
export function hasSpare({occupied, limit, slotIn}: CapacityReport): boolean {
  return slotIn === 0 && occupied < limit;
}

/** The same, and its guard has retries left if they are limited. */
export function hasSpareRetry(report: CapacityReport): boolean {
  return hasSpare(report) && report.retriesLeft !== 0;
}

function rowOf(
  name: string,
  {occupied, limit, slotIn, retriesLeft, rejectedShare, at}: CapacityReport,
  now: number,
): CapacityRow {
  return {
    box: name.slice(name.lastIndexOf('/') + 1),
    occupied,
    limit,
    ...(slotIn > 0 && {slotIn}),
    ...(retriesLeft !== undefined && {retriesLeft}),
    ...(rejectedShare > 0 && {rejectedShare}),
    age: now - at,
  };
}

/** The service that an upstream belongs to: its name without the last part. */
export function serviceOf(upstream: string): string {
  return upstream.slice(0, upstream.lastIndexOf('/'));
}
