// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The store of a soak, and the operator who writes versions into it. */

import {setTimeout as pause} from 'node:timers/promises';
import {
  BOXES_TOPIC,
  CONFIGURATION_KEY,
  CONFIGURATION_TOPIC,
  StoreStandIn,
} from '@lockpin/platform-stand-ins';
import type {StoreMood} from '@lockpin/platform-stand-ins';
import {soakConfiguration} from './soakConfiguration.js';
import type {VersionFact} from './soakFacts.js';

/** Operators notice a restore, and write again. */
const REWRITE_MILLISECONDS = 300;

/** Operators reach the store whatever it does to the boxes. */
export class SoakStore {
  private readonly standIn = new StoreStandIn();
  private newest = 0;
  private readonly moods: StoreMood[] = [];

  constructor(private readonly onVersion: (version: VersionFact) => void) {}

  /** The version that was written last. */
  get version(): number {
    return this.newest;
  }

  async start(): Promise<string> {
    const address = await this.standIn.start();
    this.configure();
    return address;
  }

  stop(): void {
    this.standIn.stop();
  }

  /** Writes the next version. */
  configure(): void {
    this.newest += 1;
    const text = soakConfiguration(this.newest);
    this.standIn.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, text);
    this.onVersion({version: this.newest, confirmedAt: Date.now()});
  }

  /** Behaves in a way for a time; of several ways the last that began counts. */
  async misbehave(mood: StoreMood, milliseconds: number): Promise<void> {
    this.moods.push(mood);
    this.standIn.mood = mood;
    await pause(milliseconds);
    this.moods.splice(this.moods.indexOf(mood), 1);
    this.standIn.mood = this.moods.at(-1) ?? 'well';
  }

  /** Comes back from a copy; operators write again what it has lost. */
  async restore(awayFor: number, lostMilliseconds: number): Promise<void> {
    await this.misbehave('silent', awayFor);
    this.standIn.restore(lostMilliseconds + awayFor);
    await pause(REWRITE_MILLISECONDS);
    const text = soakConfiguration(this.newest);
    this.standIn.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, text);
  }

  /** Another writer puts something in the place of a box's record. */
  writeOther(box: string, value: string): void {
    this.standIn.put(BOXES_TOPIC, box, value);
  }

  /** All history is gone; the newest record of each key stays. */
  forget(): void {
    this.standIn.forgetHistory();
  }
}
