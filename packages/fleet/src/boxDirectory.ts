// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** All boxes that a node knows, with the upstreams they guard. */

import type {Resource} from '@lockpin/types';
import {RECORD_LIFE_MILLISECONDS} from './boxRecord.js';
import type {BoxRecord} from './boxRecord.js';

/** Keeps the newest statement of each box. */
export class BoxDirectory {
  private readonly records = new Map<string, BoxRecord>();
  private readonly upstreams = new Map<
    string,
    readonly Resource<'Upstream'>[]
  >();

  get size(): number {
    return this.records.size;
  }

  all(): readonly BoxRecord[] {
    return [...this.records.values()];
  }

  get(box: string): BoxRecord | undefined {
    return this.records.get(box);
  }

  /** Takes in a statement; false when a newer one is known already. */
  put(record: BoxRecord): boolean {
    const known = this.records.get(record.box);
    if (known !== undefined && known.statedAt >= record.statedAt) {
      return false;
    }
    this.records.set(record.box, record);
    this.upstreams.clear();
    return true;
  }

  /** Forgets boxes that have not renewed their records; says which. */
  expire(now: number): readonly string[] {
    const expired = this.all()
      .filter(({statedAt}) => now - statedAt > RECORD_LIFE_MILLISECONDS)
      .map(({box}) => box);
    for (const box of expired) {
      this.records.delete(box);
      this.upstreams.clear();
    }
    return expired;
  }

  /** The upstreams of a service; the same list until something changes. */
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
      // Only the guard on its own box connects to an upstream.
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
