// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Connections to the upstreams on this box, few and never reused after a cut. */

import {Client, Pool} from 'undici';
import type {Resource} from '@lockpin/types';

/** Deadlines are the guard's; an upstream on the same box connects at once. */
const CONNECTION_OPTIONS = {
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  connectTimeout: 1000,
} as const;

interface PoolEntry {
  readonly pool: Pool;
  readonly address: string;
  readonly connections: number;
}

/** One pool for each upstream, with at most a connection for each slot. */
export class UpstreamPools {
  private readonly pools = new Map<string, PoolEntry>();

  /** The pool of an upstream; undefined when it is not configured here. */
  get(upstream: string): Pool | undefined {
    return this.pools.get(upstream)?.pool;
  }

  /**
   * A connection for one call, closed after it. Nothing that an earlier call
   * left on a connection, nor an idle one's silent end, can harm such a call.
   */
  single(upstream: string): Client | undefined {
    const address = this.pools.get(upstream)?.address;
    return address === undefined
      ? undefined
      : new Client(`http://${address}`, CONNECTION_OPTIONS);
  }

  /** Makes pools for what is new and closes those of what is gone. */
  configure(upstreams: readonly Resource<'Upstream'>[]): void {
    const names = new Set(upstreams.map(({name}) => name));
    for (const [name, {pool}] of this.pools) {
      if (!names.has(name)) {
        this.pools.delete(name);
        void pool.close();
      }
    }
    upstreams.forEach((upstream) => this.ensure(upstream));
  }

  close(): void {
    this.pools.forEach(({pool}) => void pool.destroy());
    this.pools.clear();
  }

  private ensure({name, spec}: Resource<'Upstream'>): void {
    const connections = Math.min(spec.slots, spec.connections);
    const found = this.pools.get(name);
    if (found?.address === spec.address && found.connections === connections) {
      return;
    }
    void found?.pool.close();
    const pool = new Pool(`http://${spec.address}`, {
      connections,
      ...CONNECTION_OPTIONS,
    });
    this.pools.set(name, {pool, address: spec.address, connections});
  }
}
