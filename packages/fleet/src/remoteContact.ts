// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Tracks which other data centres this node hears. A reader relies on the
 * readers of all data centres that it hears; one that hears none has to detect
 * by itself that the store hangs.
 */

import type {BoxDirectory} from './boxDirectory.js';
import type {NodeIdentity} from './nodeIdentity.js';
import {READERS_PER_DATA_CENTRE} from './preferredReaders.js';

/** Interval between requests; each goes to one data centre. */
const REQUEST_INTERVAL_MILLISECONDS = 1000;

/** A peer that does not reply within this time is unresponsive. */
const REPLY_TIMEOUT_MILLISECONDS = 1200;

/** Within this time two requests, to different peers, are replied to. */
const CONTACT_TIMEOUT_MILLISECONDS = 2200;

/** Time for which other peers are preferred to an unresponsive one. */
const UNRESPONSIVE_MILLISECONDS = 4000;

/** Requests to one peer. */
interface RequestedPeer {
  /** When the pending request was sent; undefined if none is pending. */
  requestedAt: number | undefined;
  unresponsiveUntil: number;
}

/** What to do now to stay in contact. */
export interface ContactStep {
  /** The peer to request the version from; undefined if none is due. */
  readonly request: string | undefined;
  /** Peers that did not reply; the connections to them may be dead. */
  readonly unresponsive: readonly string[];
}

/** Requests the version from readers of other data centres in turn. */
export class RemoteContact {
  private readonly peers = new Map<string, RequestedPeer>();
  /** When each data centre was last heard. */
  private readonly heardAt = new Map<string, number>();
  private lastHeardAt = 0;
  private nextRequestAt = 0;
  private requests = 0;

  constructor(
    private readonly identity: NodeIdentity,
    private readonly directory: BoxDirectory,
  ) {}

  /** Called periodically while this node reads the store. */
  step(now: number): ContactStep {
    const unresponsive = this.removeOverdueRequests(now);
    const isDue = now >= this.nextRequestAt;
    return {request: isDue ? this.nextRequest(now) : undefined, unresponsive};
  }

  /** A peer sent its version, whether that was requested or not. */
  heard(now: number, address: string): void {
    const dataCentre = this.directory.dataCentreAt(address);
    if (dataCentre === undefined || dataCentre === this.identity.dataCentre) {
      return;
    }
    this.peers.delete(address);
    this.heardAt.set(dataCentre, now);
    this.lastHeardAt = now;
  }

  /** The other data centres that are heard, in a fixed order. */
  heardDataCentres(now: number): readonly string[] {
    if (now - this.lastHeardAt > CONTACT_TIMEOUT_MILLISECONDS) {
      return [];
    }
    const others = this.otherDataCentres();
    const roundMilliseconds = others.length * REQUEST_INTERVAL_MILLISECONDS;
    const timeout = roundMilliseconds + REPLY_TIMEOUT_MILLISECONDS;
    return others.filter(
      (dataCentre) => now - (this.heardAt.get(dataCentre) ?? 0) <= timeout,
    );
  }

  private otherDataCentres(): readonly string[] {
    return this.directory.dataCentres.filter(
      (dataCentre) => dataCentre !== this.identity.dataCentre,
    );
  }

  private nextRequest(now: number): string | undefined {
    const others = this.otherDataCentres();
    const wasIdle = now - this.nextRequestAt > CONTACT_TIMEOUT_MILLISECONDS;
    if (wasIdle) {
      this.assumeContact(now, others);
    }
    this.nextRequestAt = now + REQUEST_INTERVAL_MILLISECONDS;
    const {requests} = this;
    this.requests += 1;
    const dataCentre = others[requests % others.length];
    const peer =
      dataCentre === undefined
        ? undefined
        : this.peerIn(now, dataCentre, Math.floor(requests / others.length));
    if (peer !== undefined) {
      this.peers.set(peer, {requestedAt: now, unresponsiveUntil: 0});
    }
    return peer;
  }

  /** Until the first replies are due, contact is assumed. */
  private assumeContact(now: number, dataCentres: readonly string[]): void {
    this.lastHeardAt =
      now + REPLY_TIMEOUT_MILLISECONDS - CONTACT_TIMEOUT_MILLISECONDS;
    dataCentres.forEach((dataCentre) => this.heardAt.set(dataCentre, now));
  }

  private peerIn(
    now: number,
    dataCentre: string,
    turn: number,
  ): string | undefined {
    const peers = this.directory
      .rankedIn(dataCentre)
      .filter(({peerAddress}) => this.isResponsive(now, peerAddress))
      .slice(0, READERS_PER_DATA_CENTRE);
    return peers[turn % peers.length]?.peerAddress;
  }

  private isResponsive(now: number, address: string): boolean {
    const peer = this.peers.get(address);
    return peer === undefined || now >= peer.unresponsiveUntil;
  }

  private removeOverdueRequests(now: number): readonly string[] {
    const unresponsive: string[] = [];
    for (const [address, peer] of this.peers) {
      const {requestedAt} = peer;
      if (this.directory.dataCentreAt(address) === undefined) {
        this.peers.delete(address);
      } else if (
        requestedAt !== undefined &&
        now - requestedAt > REPLY_TIMEOUT_MILLISECONDS
      ) {
        peer.requestedAt = undefined;
        peer.unresponsiveUntil = now + UNRESPONSIVE_MILLISECONDS;
        unresponsive.push(address);
      }
    }
    return unresponsive;
  }
}
