// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Connections to the upstreams on this box, few and never reused after a cut. */

import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {Client, Pool} from 'undici';
import type {buildConnector} from 'undici';
import type {Presence} from '@lockpin/quarantine';
import type {Resource, UpstreamIncarnation} from '@lockpin/types';
import {isSameIncarnation} from '@lockpin/utils';
import {lookAtAddress} from './lookAtAddress.js';

/** An upstream on the same box connects at once; all other limits are the guard's. */
const CONNECT_MILLISECONDS = 1000;

interface PoolEntry {
  readonly pool: Pool;
  readonly address: string;
  readonly connections: number;
  /** Connections to an earlier process at the address are dead. */
  readonly incarnation: UpstreamIncarnation | undefined;
}

/** One pool for each upstream, with at most a connection for each slot. */
export class UpstreamPools {
  private readonly pools = new Map<string, PoolEntry>();
  private isReset = false;
  private readonly options = {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: ((options, done) => {
      const address = {host: options.hostname, port: Number(options.port)};
      this.connect(address, done);
    }) as buildConnector.connector,
  };

  /**
   * Whether a connection is being reset right now. undici takes a reset for the
   * end of an answer that has no length; such an answer is not whole.
   */
  get isConnectionReset(): boolean {
    return this.isReset;
  }

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
      : new Client(`http://${address}`, this.options);
  }

  /** Looks whether anybody is at the address of an upstream. */
  lookAt(upstream: string, done: (presence: Presence) => void): void {
    const entry = this.pools.get(upstream);
    if (entry === undefined) {
      done('unknown');
    } else {
      lookAtAddress(entry.address, done);
    }
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

  private connect(
    address: {readonly host: string; readonly port: number},
    done: (...result: [Error, null] | [null, Socket]) => void,
  ): void {
    const socket = connect({...address, noDelay: true});
    const timer = setTimeout(
      () => socket.destroy(new Error('connecting takes too long')),
      CONNECT_MILLISECONDS,
    );
    const failed = (error: Error): void => {
      clearTimeout(timer);
      done(error, null);
    };
    socket.once('error', failed);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', failed);
      socket.on('error', () => this.noteReset());
      done(null, socket);
    });
  }

  /** Stands while the listeners of the same event run, undici's among them. */
  private noteReset(): void {
    this.isReset = true;
    process.nextTick(() => {
      this.isReset = false;
    });
  }

  private ensure({name, spec}: Resource<'Upstream'>): void {
    const connections = Math.min(spec.slots, spec.connections);
    const found = this.pools.get(name);
    const {address, incarnation} = spec;
    if (
      found?.address === address &&
      found.connections === connections &&
      isSameIncarnation(found.incarnation, incarnation)
    ) {
      return;
    }
    void found?.pool.close();
    const pool = new Pool(`http://${address}`, {
      connections,
      ...this.options,
    });
    this.pools.set(name, {pool, address, connections, incarnation});
  }
}
