// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Directory of all known boxes and the upstreams they guard. */

import type {Resource} from '@lockpin/types';
import {STABLE_HASH_RANGE, readerRank, stableHash} from '@lockpin/utils';
import {RECORD_EXPIRY_MILLISECONDS} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';
import type {NodeIdentity} from './nodeIdentity.js';

/**
 * Records live for minutes, so scanning for expired ones more often gains
 * nothing.
 */
const EXPIRY_CHECK_MILLISECONDS = 1000;

/** Keeps the newest record of each box. */
export class BoxDirectory {
  private readonly records = new Map<string, BoxRecord>();
  private readonly byAddress = new Map<string, BoxRecord>();
  private readonly counts = new Map<string, number>();
  private declared: ReadonlySet<string> | undefined;
  private currentDigest = 0;
  private membershipVersion = 0;
  private nextExpiryCheckAt = 0;
  private readonly ranked = new Map<string, readonly NodeIdentity[]>();
  private cachedDataCentres: readonly string[] | undefined;
  private cachedWorking: readonly string[] | undefined;
  private readonly upstreams = new Map<
    string,
    readonly Resource<'Upstream'>[]
  >();
  /** Program versions of the upstreams that take work, by service. */
  private programs: ReadonlyMap<string, ReadonlySet<string>> | undefined;

  get size(): number {
    return this.records.size;
  }

  all(): readonly BoxRecord[] {
    return [...this.records.values()];
  }

  /** Equal on two nodes that hold the same records. */
  get digest(): number {
    return this.currentDigest;
  }

  get(box: string): BoxRecord | undefined {
    return this.records.get(box);
  }

  /** The data centre of the node at an address; undefined if unknown. */
  dataCentreAt(peerAddress: string): string | undefined {
    return this.byAddress.get(peerAddress)?.dataCentre;
  }

  /** Changes whenever a box is added, removed or moved. */
  get members(): number {
    return this.membershipVersion;
  }

  /** Boxes of undeclared services are neither called nor queried. */
  setDeclaredServices(services: ReadonlySet<string>): void {
    this.declared = services;
    this.invalidateTopology();
  }

  private isUsable(record: BoxRecord | undefined): boolean {
    return (
      record?.takesWork === true && (this.declared?.has(record.service) ?? true)
    );
  }

  /** Stores a record; false if a record at least as new is already known. */
  put(record: BoxRecord): boolean {
    const known = this.records.get(record.box);
    if (known !== undefined && known.statedAt >= record.statedAt) {
      return false;
    }
    if (this.hasMoved(known, record)) {
      this.membershipVersion += 1;
    }
    this.remove(known);
    this.records.set(record.box, record);
    this.byAddress.set(record.peerAddress, record);
    this.addToDigest(stableHash(recordKey(record)));
    this.addToCount(record.service, 1);
    if (
      this.hasMoved(known, record) ||
      this.isUsable(known) !== this.isUsable(record)
    ) {
      this.invalidateTopology();
    } else {
      this.invalidateUpstreams();
    }
    return true;
  }

  private hasMoved(known: BoxRecord | undefined, record: BoxRecord): boolean {
    return (
      known?.dataCentre !== record.dataCentre ||
      known.peerAddress !== record.peerAddress
    );
  }

  /**
   * Removes boxes that have not renewed their records, and returns their names.
   */
  expire(now: number): readonly string[] {
    if (now < this.nextExpiryCheckAt) {
      return [];
    }
    this.nextExpiryCheckAt = now + EXPIRY_CHECK_MILLISECONDS;
    const expired = this.all().filter(
      ({statedAt}) => now - statedAt > RECORD_EXPIRY_MILLISECONDS,
    );
    for (const record of expired) {
      this.remove(record);
      this.membershipVersion += 1;
      this.invalidateTopology();
    }
    return expired.map(({box}) => box);
  }

  /** The data centres of all boxes. */
  get dataCentres(): readonly string[] {
    this.cachedDataCentres ??= [
      ...new Set(this.all().map(({dataCentre}) => dataCentre)),
    ].sort();
    return this.cachedDataCentres;
  }

  /**
   * The boxes of a data centre whose upstreams take work, in order of reader
   * rank. Boxes that are about to leave are not eligible as readers.
   */
  rankedIn(dataCentre: string): readonly NodeIdentity[] {
    const found = this.ranked.get(dataCentre);
    if (found !== undefined) {
      return found;
    }
    const made = this.all()
      .filter(
        (record) => record.dataCentre === dataCentre && this.isUsable(record),
      )
      .map((record) => ({record, rank: readerRank(record.box)}))
      .sort((a, b) => a.rank - b.rank)
      .map(({record}) => record);
    this.ranked.set(dataCentre, made);
    return made;
  }

  /**
   * The boxes whose upstreams take work; the same array until something
   * changes.
   */
  get working(): readonly string[] {
    this.cachedWorking ??= this.all()
      .filter((record) => this.isUsable(record))
      .map(({box}) => box)
      .sort();
    return this.cachedWorking;
  }

  /** Called when the upstream of any box has changed. */
  private invalidateUpstreams(): void {
    this.upstreams.clear();
    this.programs = undefined;
  }

  /**
   * Called when the set of usable boxes or their locations changed; most
   * records change neither.
   */
  private invalidateTopology(): void {
    this.invalidateUpstreams();
    this.cachedWorking = undefined;
    this.ranked.clear();
    this.cachedDataCentres = undefined;
  }

  private remove(record: BoxRecord | undefined): void {
    if (record === undefined) {
      return;
    }
    this.records.delete(record.box);
    if (this.byAddress.get(record.peerAddress) === record) {
      this.byAddress.delete(record.peerAddress);
    }
    this.addToDigest(STABLE_HASH_RANGE - stableHash(recordKey(record)));
    this.addToCount(record.service, -1);
  }

  private addToCount(service: string, change: number): void {
    this.counts.set(service, this.countOf(service) + change);
  }

  private addToDigest(hash: number): void {
    this.currentDigest = (this.currentDigest + hash) % STABLE_HASH_RANGE;
  }

  /** The number of known boxes that guard an upstream of a service. */
  countOf(service: string): number {
    return this.counts.get(service) ?? 0;
  }

  /**
   * Whether an upstream of the service that takes work runs this program
   * version.
   */
  runsProgram(service: string, program = ''): boolean {
    this.programs ??= programsOf(this.all().filter(({takesWork}) => takesWork));
    return this.programs.get(service)?.has(program) ?? false;
  }

  /** The upstreams of a service; the same array until something changes. */
  upstreamsOf(
    service: string,
    mostConnections: number,
  ): readonly Resource<'Upstream'>[] {
    const found = this.upstreams.get(service);
    if (found !== undefined) {
      return found;
    }
    const made = this.all()
      .filter((record) => record.service === service)
      .sort((a, b) => (a.box < b.box ? -1 : 1))
      .map((record) => upstreamOf(record, mostConnections));
    this.upstreams.set(service, made);
    return made;
  }
}

/** Identifies one version of one box's record. */
function recordKey({box, statedAt}: BoxRecord): string {
  return `${box} ${statedAt}`;
}

function programsOf(
  records: readonly BoxRecord[],
): ReadonlyMap<string, ReadonlySet<string>> {
  const programs = new Map<string, Set<string>>();
  for (const {service, program = ''} of records) {
    const known = programs.get(service) ?? new Set();
    programs.set(service, known.add(program));
  }
  return programs;
}

function upstreamOf(
  record: BoxRecord,
  connections: number,
): Resource<'Upstream'> {
  const {box, dataCentre, service, slots, takesWork, coldUntil} = record;
  return {
    kind: 'Upstream',
    name: upstreamName(service, box),
    version: record.statedAt,
    spec: {
      // Only the guard on the same box connects to an upstream.
      address: '',
      dataCentre,
      box,
      slots,
      connections,
      state: takesWork ? 'in-service' : 'draining',
      coldUntil,
    },
  };
}

/** The name of the upstream of a service on a box. */
export function upstreamName(service: string, box: string): string {
  return `${service}/${box}`;
}
