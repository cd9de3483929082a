// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The store of a soak and its operator, who writes configuration versions. */

import {setTimeout as pause} from 'node:timers/promises';
import {
  BOXES_TOPIC,
  CONFIGURATION_KEY,
  CONFIGURATION_TOPIC,
  StoreStandIn,
} from '@lockpin/platform-stand-ins';
import type {StandInCustomer, StoreMode} from '@lockpin/platform-stand-ins';
import {soakConfiguration} from './soakConfiguration.js';
import type {ConfirmedVersion} from './soakHistory.js';

/** Delay until the operator rewrites the configuration after a restore. */
const REWRITE_DELAY_MILLISECONDS = 300;

/** Operator writes succeed whatever faults the boxes see. */
export class SoakStore {
  private readonly standIn = new StoreStandIn();
  private newestVersion = 0;
  private readonly activeModes: StoreMode[] = [];

  constructor(
    private readonly onVersion: (version: ConfirmedVersion) => void,
    private readonly customers: readonly StandInCustomer[] = [],
  ) {}

  /** The last version written. */
  get version(): number {
    return this.newestVersion;
  }

  async start(): Promise<string> {
    const address = await this.standIn.start();
    this.writeNextVersion();
    return address;
  }

  stop(): void {
    this.standIn.stop();
  }

  /** Writes the next configuration version. */
  writeNextVersion(): void {
    this.newestVersion += 1;
    const text = soakConfiguration(this.newestVersion, this.customers);
    this.standIn.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, text);
    this.onVersion({version: this.newestVersion, confirmedAt: Date.now()});
  }

  /** Applies a fault mode for a time; of several, the latest takes effect. */
  async applyMode(mode: StoreMode, milliseconds: number): Promise<void> {
    this.activeModes.push(mode);
    this.standIn.mode = mode;
    await pause(milliseconds);
    this.activeModes.splice(this.activeModes.indexOf(mode), 1);
    this.standIn.mode = this.activeModes.at(-1) ?? 'well';
  }

  /** Restores an older copy; the operator then rewrites the configuration. */
  async restore(
    unavailableMilliseconds: number,
    lostMilliseconds: number,
  ): Promise<void> {
    await this.applyMode('silent', unavailableMilliseconds);
    this.standIn.restore(lostMilliseconds + unavailableMilliseconds);
    await pause(REWRITE_DELAY_MILLISECONDS);
    const text = soakConfiguration(this.newestVersion, this.customers);
    this.standIn.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, text);
  }

  /** Overwrites the record of a box as another writer would. */
  overwriteBoxRecord(box: string, value: string): void {
    this.standIn.put(BOXES_TOPIC, box, value);
  }

  /** Drops all history except the newest record of each key. */
  dropHistory(): void {
    this.standIn.dropHistory();
  }
}
