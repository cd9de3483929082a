// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The configuration that is in force at a node. It never goes back. */

import type {Result} from '@lockpin/types';
import {checkConfiguration} from './checkConfiguration.js';
import type {
  ConfigurationProblem,
  DeclaredConfiguration,
} from './declaredConfiguration.js';
import type {FleetAction} from './fleetMessages.js';
import {note} from './fleetNote.js';
import type {StoredRecord} from './recordStore.js';

/** Reads the operators' record; undefined for a record that is none. */
export type ReadConfiguration = (
  record: StoredRecord,
) => Result<DeclaredConfiguration | undefined, ConfigurationProblem>;

/** Takes in newer versions, from the store and from peers. */
export class ConfigurationInForce {
  private inForce: DeclaredConfiguration | undefined;
  /** From the store, and not to be served by yet. */
  private heldBack: DeclaredConfiguration | undefined;

  constructor(
    private readonly read: ReadConfiguration,
    /** Whether what the store says may not be in force yet. */
    private readonly isHolding: () => boolean,
  ) {}

  get current(): DeclaredConfiguration | undefined {
    return this.inForce;
  }

  get version(): number {
    return this.inForce?.version ?? 0;
  }

  /** A document that cannot be read leaves the version in force as it is. */
  take(record: StoredRecord): readonly FleetAction[] {
    const read = this.read(record);
    if (!read.ok) {
      return [wrong(record.key, read.failure)];
    }
    if (read.value === undefined) {
      return [];
    }
    const problem = checkConfiguration(read.value);
    if (problem !== undefined) {
      return [wrong(record.key, problem)];
    }
    if (this.isHolding()) {
      this.heldBack = newerOf(this.heldBack, read.value);
      return [];
    }
    return this.adopt(read.value, 'store');
  }

  /** Operators have to know that the store has lost what is in force. */
  noteIfOlder(record: StoredRecord): readonly FleetAction[] {
    const read = this.read(record);
    const stored = read.ok ? read.value?.version : undefined;
    const {version} = this;
    return stored === undefined || stored >= version
      ? []
      : [note('configuration-older-in-store', String(stored), {version})];
  }

  /** Whether the store has brought something that is not in force yet. */
  get hasHeldBack(): boolean {
    return this.heldBack !== undefined;
  }

  /** What the store has brought may be in force, unless something newer is. */
  release(): readonly FleetAction[] {
    const {heldBack} = this;
    this.heldBack = undefined;
    return heldBack === undefined ? [] : this.adopt(heldBack, 'store');
  }

  /** Never goes back: an older version than the one in force is passed over. */
  adopt(
    configuration: DeclaredConfiguration,
    source: string,
  ): readonly FleetAction[] {
    if (configuration.version <= this.version) {
      return [];
    }
    this.inForce = configuration;
    return [{kind: 'configuration-changed', configuration, source}];
  }
}

function newerOf(
  before: DeclaredConfiguration | undefined,
  next: DeclaredConfiguration,
): DeclaredConfiguration {
  return before !== undefined && before.version > next.version ? before : next;
}

function wrong(
  key: string,
  {field, problem}: ConfigurationProblem,
): FleetAction {
  return note('configuration-wrong', key, {field, problem});
}
