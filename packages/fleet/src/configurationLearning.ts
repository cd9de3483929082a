// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How a node comes to the configuration in force, and what follows from a newer one. */

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

/** What learning goes by, and what is told of newer versions. */
export interface ConfigurationLearningContext {
  readonly read: ReadConfiguration;
  readonly isFirstStart: boolean;
  readonly directory: BoxDirectory;
  readonly duty: StoreDuty;
  readonly peers: PeerAsking;
  /** Asks one peer for its configuration. */
  readonly ask: (address: string) => readonly FleetAction[];
}

/** Takes in documents of the store and of peers; never goes back. */
export class ConfigurationLearning {
  readonly inForce: ConfigurationInForce;
  private readonly startCheck: StartCheck;

  constructor(private readonly context: ConfigurationLearningContext) {
    this.startCheck = new StartCheck(!context.isFirstStart);
    this.inForce = new ConfigurationInForce(
      context.read,
      () => this.startCheck.isHolding,
    );
  }

  /** The store brought documents. */
  fromStore(now: number, page: RecordPage): readonly FleetAction[] {
    const actions = page.records.flatMap((record) => [
      ...this.inForce.take(record),
      ...(page.isWhole ? this.inForce.noteIfOlder(record) : []),
    ]);
    if (this.inForce.hasHeldBack) {
      this.startCheck.held(now);
    }
    return this.noteVersion(actions);
  }

  /** A peer has this in force. */
  fromPeer(
    address: string,
    configuration: DeclaredConfiguration,
  ): readonly FleetAction[] {
    this.startCheck.end();
    // The peer's first: what the store brought may be older.
    return this.noteVersion([
      ...this.inForce.adopt(configuration, `peer ${address}`),
      ...this.inForce.release(),
    ]);
  }

  /** A peer has replied, or did not answer in time. */
  replied(address: string): void {
    this.startCheck.replied(address);
  }

  /** What is due now of what a start asks of its peers. */
  due(now: number, random: RandomSource): readonly FleetAction[] {
    const asked = this.askAtStart(now, random);
    const released = this.startCheck.hasEnded(now)
      ? this.noteVersion(this.inForce.release())
      : [];
    return [...asked, ...released];
  }

  private askAtStart(
    now: number,
    random: RandomSource,
  ): readonly FleetAction[] {
    const {duty, peers, ask} = this.context;
    if (!this.startCheck.mayAsk || !duty.hasReadBoxes) {
      return [];
    }
    const addresses = peers.atStart(random);
    this.startCheck.asked(now, addresses);
    return addresses.flatMap((address) => ask(address));
  }

  /** What was asked of peers for the sake of a newer version is over with it. */
  private noteVersion(actions: readonly FleetAction[]): readonly FleetAction[] {
    if (actions.some(({kind}) => kind === 'configuration-changed')) {
      const {directory, duty, peers} = this.context;
      peers.versionCame(this.inForce.version);
      duty.versionCame();
      const services = this.inForce.current?.services ?? [];
      directory.declare(new Set(services.map(({name}) => name)));
    }
    return actions;
  }
}
