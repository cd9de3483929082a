// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Connection pools of the upstreams on this box, one per upstream process. */

import type {Socket} from 'node:net';
import {Client, Pool} from 'undici';
import type {buildConnector} from 'undici';
import type {AddressState} from '@lockpin/quarantine';
import type {Resource, UpstreamIncarnation} from '@lockpin/types';
import {isSameIncarnation, wasReset} from '@lockpin/utils';
import {checkAddress} from './checkAddress.js';
import {connectSocket} from './connectSocket.js';
import type {ConnectTarget} from './connectSocket.js';
import {UpstreamSocket} from './upstreamSocket.js';

/**
 * Upstreams on the same box connect at once; the guard enforces all other
 * timeouts.
 */
const CONNECT_TIMEOUT_MILLISECONDS = 1000;

interface PoolEntry {
  readonly pool: Pool;
  readonly address: string;
  readonly connections: number;
  /** Connections to an earlier process at the same address are unusable. */
  readonly incarnation: UpstreamIncarnation | undefined;
}

/** One pool for each upstream, with at most one connection for each slot. */
export class UpstreamPools {
  private readonly pools = new Map<string, PoolEntry>();
  private isReset = false;
  private parsed: UpstreamSocket | undefined;
  private readonly options = {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: ((options, done) => {
      const target = {
        host: options.hostname,
        port: Number(options.port),
        timeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
      };
      this.connect(target, done);
    }) as buildConnector.connector,
  };

  /**
   * Whether listeners of a connection's error event, or of the end of one that
   * was reset, are currently running. undici takes both for the end of a
   * response without a length; that response is incomplete.
   */
  get isConnectionReset(): boolean {
    return this.isReset;
  }

  /** The connection whose bytes undici parses at present. */
  get parsedConnection(): UpstreamSocket | undefined {
    return this.parsed;
  }

  /**
   * To be called while undici handles a part of an answer: stops reading from
   * its connection, and returns the function that reads on.
   */
  suspendReading(): () => void {
    const socket = this.parsed;
    socket?.suspendReading();
    return () => socket?.resumeReading();
  }

  /**
   * Returns the pool of an upstream; undefined if it is not configured here.
   */
  get(upstream: string): Pool | undefined {
    return this.pools.get(upstream)?.pool;
  }

  /**
   * Creates a connection for a single call. Such a call cannot be affected by
   * data that an earlier call left on a connection, or by an idle connection
   * that was closed.
   */
  createSingleUseClient(upstream: string): Client | undefined {
    const address = this.pools.get(upstream)?.address;
    return address === undefined
      ? undefined
      : new Client(`http://${address}`, this.options);
  }

  /** Checks whether a process listens on the address of an upstream. */
  checkAddress(upstream: string, done: (state: AddressState) => void): void {
    const entry = this.pools.get(upstream);
    if (entry === undefined) {
      done('unknown');
    } else {
      checkAddress(entry.address, done);
    }
  }

  /** Creates pools for new upstreams and closes those of removed upstreams. */
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
    target: ConnectTarget,
    done: (...result: [Error, null] | [null, Socket]) => void,
  ): void {
    const socket = new UpstreamSocket(
      (read) => {
        this.parsed = read;
      },
      () => {
        this.parsed = undefined;
      },
    );
    connectSocket(socket, target, (error) => {
      if (error !== undefined) {
        done(error, null);
        return;
      }
      socket.on('error', () => this.markReset());
      socket.on('end', () => {
        if (wasReset(socket)) {
          this.markReset();
        }
      });
      done(null, socket);
    });
  }

  /**
   * Sets the flag while the listeners of the same event run, including
   * undici's.
   */
  private markReset(): void {
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
