// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Obtains the configuration in force and applies the effects of newer versions.
 */

import type {RandomSource} from '@lockpin/types';
import type {BoxDirectory} from './boxDirectory.js';
import {ConfigurationInForce} from './configurationInForce.js';
import type {ReadConfiguration} from './configurationInForce.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {FleetAction} from './fleetMessages.js';
import type {PeerSelector} from './peerSelector.js';
import type {RecordPage} from './recordStore.js';
import {StartupCheck} from './startupCheck.js';
import type {StoreReaderRole} from './storeReaderRole.js';

/**
 * Dependencies of the handler, and the components that newer versions are
 * passed to.
 */
export interface ConfigurationHandlerContext {
  readonly read: ReadConfiguration;
  readonly isFirstStart: boolean;
  readonly directory: BoxDirectory;
  readonly readerRole: StoreReaderRole;
  readonly peers: PeerSelector;
  /** Queries one peer for its configuration. */
  readonly queryPeer: (address: string) => readonly FleetAction[];
}

/**
 * Handles configurations from the store and from peers; the version never
 * decreases.
 */
export class ConfigurationHandler {
  readonly inForce: ConfigurationInForce;
  private readonly startupCheck: StartupCheck;

  constructor(private readonly context: ConfigurationHandlerContext) {
    this.startupCheck = new StartupCheck(!context.isFirstStart);
    this.inForce = new ConfigurationInForce(
      context.read,
      () => this.startupCheck.isHolding,
    );
  }

  /** Handles documents read from the store. */
  fromStore(now: number, page: RecordPage): readonly FleetAction[] {
    const actions = page.records.flatMap((record) => [
      ...this.inForce.acceptFromStore(record),
      ...(page.isWhole ? this.inForce.logIfOlder(record) : []),
    ]);
    if (this.inForce.hasPending) {
      this.startupCheck.held(now);
    }
    return this.applyVersionChange(actions);
  }

  /** Handles the configuration that a peer has in force. */
  fromPeer(
    address: string,
    configuration: DeclaredConfiguration,
  ): readonly FleetAction[] {
    this.startupCheck.end();
    // The peer's first, since the store's may be older.
    return this.applyVersionChange([
      ...this.inForce.adopt(configuration, `peer ${address}`),
      ...this.inForce.releasePending(),
    ]);
  }

  /** A peer replied or timed out. */
  replied(address: string): void {
    this.startupCheck.replied(address);
  }

  /** Starts the startup queries, or ends them when they are complete. */
  due(now: number, random: RandomSource): readonly FleetAction[] {
    const queries = this.queryPeersAtStart(now, random);
    const released = this.startupCheck.hasEnded(now)
      ? this.applyVersionChange(this.inForce.releasePending())
      : [];
    return [...queries, ...released];
  }

  private queryPeersAtStart(
    now: number,
    random: RandomSource,
  ): readonly FleetAction[] {
    const {readerRole, peers, queryPeer} = this.context;
    if (!this.startupCheck.shouldQueryPeers || !readerRole.hasReadBoxes) {
      return [];
    }
    const addresses = peers.peersAtStart(random);
    this.startupCheck.queriesSent(now, addresses);
    return addresses.flatMap((address) => queryPeer(address));
  }

  /** A newer version ends the pending attempts to obtain it. */
  private applyVersionChange(
    actions: readonly FleetAction[],
  ): readonly FleetAction[] {
    if (actions.some(({kind}) => kind === 'configuration-changed')) {
      const {directory, readerRole, peers} = this.context;
      peers.versionAdopted(this.inForce.version);
      readerRole.versionAdopted();
      const services = this.inForce.current?.services ?? [];
      directory.setDeclaredServices(new Set(services.map(({name}) => name)));
    }
    return actions;
  }
}
