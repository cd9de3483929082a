// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Authorization of callers by their keys, and confirmation of unknown keys. */

import {mayAcceptKnownKeys} from '@lockpin/fleet';
import type {
  CustomerTable,
  DeclaredCustomer,
  FleetStateMachine,
  KeyPolicy,
} from '@lockpin/fleet';
import type {Clock, RefusalReason, Result} from '@lockpin/types';
import {failure} from '@lockpin/utils';
import {KeyConfirmation} from './keyConfirmation.js';

/** Dependencies of the key checks. */
export interface FleetKeysContext {
  readonly clock: Clock;
  readonly fleet: Pick<FleetStateMachine, 'readerRole' | 'isCurrent'>;
  readonly policy: () => KeyPolicy;
  /** Returns undefined before any configuration is known. */
  readonly customers: () => CustomerTable | undefined;
  /**
   * Queries a reader for a newer configuration; returns false if none is
   * reachable.
   */
  readonly queryReader: () => boolean;
}

/** Authorizes callers by the keys of the configuration in force. */
export class FleetKeys {
  private readonly confirmation: KeyConfirmation;

  constructor(private readonly context: FleetKeysContext) {
    this.confirmation = new KeyConfirmation(context.queryReader);
  }

  /**
   * Returns the customer that a caller acts for, by the hash of the caller's
   * key.
   */
  authorize(
    hash: string | undefined,
    isPublic: boolean,
  ): Result<DeclaredCustomer | undefined, RefusalReason> {
    const customers = this.context.customers();
    if (customers === undefined) {
      return failure('not-ready');
    }
    const found = customers.customerOf(hash, isPublic);
    const isAccepted =
      !found.ok || found.value === undefined || this.mayAcceptKeys();
    return isAccepted ? found : failure('keys-outdated');
  }

  /**
   * Whether the keys known here are up to date according to a reader. Callers
   * do not retry after a key is refused, and a new key may be missing from an
   * older version.
   */
  async confirm(): Promise<boolean> {
    const {fleet, clock} = this.context;
    return fleet.isCurrent(clock()) || this.confirmation.confirm();
  }

  /** Handles the end of a peer query, answered or not. */
  answered(hasAnswered: boolean): void {
    this.confirmation.answered(hasAnswered);
  }

  private mayAcceptKeys(): boolean {
    const {fleet, clock, policy} = this.context;
    return mayAcceptKnownKeys(policy(), fleet.readerRole.staleness(clock()));
  }
}
