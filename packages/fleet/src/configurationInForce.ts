// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The configuration in force at a node. Its version never decreases. */

import type {Result} from '@lockpin/types';
import {checkConfiguration} from './checkConfiguration.js';
import type {
  ConfigurationProblem,
  DeclaredConfiguration,
} from './declaredConfiguration.js';
import type {FleetAction} from './fleetMessages.js';
import {logEvent} from './logEvent.js';
import type {StoredRecord} from './recordStore.js';

/**
 * Parses a record written by operators; undefined if it holds no configuration.
 */
export type ReadConfiguration = (
  record: StoredRecord,
) => Result<DeclaredConfiguration | undefined, ConfigurationProblem>;

/** Accepts newer versions from the store and from peers. */
export class ConfigurationInForce {
  private inForce: DeclaredConfiguration | undefined;
  /** Read from the store, but not yet allowed to come into force. */
  private pending: DeclaredConfiguration | undefined;

  constructor(
    private readonly read: ReadConfiguration,
    /** Whether configurations from the store must not come into force yet. */
    private readonly isHolding: () => boolean,
  ) {}

  get current(): DeclaredConfiguration | undefined {
    return this.inForce;
  }

  get version(): number {
    return this.inForce?.version ?? 0;
  }

  /** An invalid document leaves the version in force unchanged. */
  acceptFromStore(record: StoredRecord): readonly FleetAction[] {
    const read = this.read(record);
    if (!read.ok) {
      return [invalidConfiguration(record.key, read.failure)];
    }
    if (read.value === undefined) {
      return [];
    }
    const problem = checkConfiguration(read.value);
    if (problem !== undefined) {
      return [invalidConfiguration(record.key, problem)];
    }
    if (this.isHolding()) {
      this.pending = newerOf(this.pending, read.value);
      return [];
    }
    return this.adopt(read.value, 'store');
  }

  /** Alerts operators that the store has lost the version in force. */
  logIfOlder(record: StoredRecord): readonly FleetAction[] {
    const read = this.read(record);
    const stored = read.ok ? read.value?.version : undefined;
    const {version} = this;
    return stored === undefined || stored >= version
      ? []
      : [logEvent('configuration-older-in-store', String(stored), {version})];
  }

  /** Whether a configuration from the store is waiting to come into force. */
  get hasPending(): boolean {
    return this.pending !== undefined;
  }

  /** Puts the waiting configuration in force, unless a newer one already is. */
  releasePending(): readonly FleetAction[] {
    const {pending} = this;
    this.pending = undefined;
    return pending === undefined ? [] : this.adopt(pending, 'store');
  }

  /** Ignores versions that are not newer than the one in force. */
  adopt(
    configuration: DeclaredConfiguration,
    source: string,
  ): readonly FleetAction[] {
    if (configuration.version <= this.version) {
      return [];
    }
    this.inForce = configuration;
    const {version, warnings = []} = configuration;
    return [
      {kind: 'configuration-changed', configuration, source},
      ...warnings.map(({field, problem}) =>
        logEvent('configuration-field-unknown', field, {version, problem}),
      ),
    ];
  }
}

function newerOf(
  before: DeclaredConfiguration | undefined,
  next: DeclaredConfiguration,
): DeclaredConfiguration {
  return before !== undefined && before.version > next.version ? before : next;
}

function invalidConfiguration(
  key: string,
  {field, problem}: ConfigurationProblem,
): FleetAction {
  return logEvent('configuration-wrong', key, {field, problem});
}
