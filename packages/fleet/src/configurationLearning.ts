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
import type {PeerAsking} from './peerAsking.js';
import type {RecordPage} from './recordStore.js';
import {StartCheck} from './startCheck.js';
import type {StoreDuty} from './storeDuty.js';

/**
 * Dependencies of the handler, and the components that newer versions are
 * passed to.
 */
export interface ConfigurationLearningContext {
  readonly read: ReadConfiguration;
  readonly isFirstStart: boolean;
  readonly directory: BoxDirectory;
  readonly duty: StoreDuty;
  readonly peers: PeerAsking;
  /** Queries one peer for its configuration. */
  readonly ask: (address: string) => readonly FleetAction[];
}

/**
 * Handles configurations from the store and from peers; the version never
 * decreases.
 */
export class ConfigurationLearning {
  readonly inForce: ConfigurationInForce;
  private readonly startupCheck: StartCheck;

  constructor(private readonly context: ConfigurationLearningContext) {
    this.startupCheck = new StartCheck(!context.isFirstStart);
    this.inForce = new ConfigurationInForce(
      context.read,
      () => this.startupCheck.isHolding,
    );
  }

  /** Handles documents read from the store. */
  fromStore(now: number, page: RecordPage): readonly FleetAction[] {
    const actions = page.records.flatMap((record) => [
      ...this.inForce.take(record),
      ...(page.isWhole ? this.inForce.noteIfOlder(record) : []),
    ]);
    if (this.inForce.hasHeldBack) {
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
      ...this.inForce.release(),
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
      ? this.applyVersionChange(this.inForce.release())
      : [];
    return [...queries, ...released];
  }

  private queryPeersAtStart(
    now: number,
    random: RandomSource,
  ): readonly FleetAction[] {
    const {duty: readerRole, peers, ask: queryPeer} = this.context;
    if (!this.startupCheck.mayAsk || !readerRole.hasReadBoxes) {
      return [];
    }
    const addresses = peers.atStart(random);
    this.startupCheck.asked(now, addresses);
    return addresses.flatMap((address) => queryPeer(address));
  }

  /** A newer version ends the pending attempts to obtain it. */
  private applyVersionChange(
    actions: readonly FleetAction[],
  ): readonly FleetAction[] {
    if (actions.some(({kind}) => kind === 'configuration-changed')) {
      const {directory, duty: readerRole, peers} = this.context;
      peers.versionCame(this.inForce.version);
      readerRole.versionCame();
      const services = this.inForce.current?.services ?? [];
      directory.declare(new Set(services.map(({name}) => name)));
    }
    return actions;
  }
}
