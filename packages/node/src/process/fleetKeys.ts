// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Who a caller is, as far as this node knows, and how it makes sure. */

import {mayServeKnownKeys} from '@lockpin/fleet';
import type {
  CustomerTable,
  DeclaredCustomer,
  FleetBrain,
  KeyPolicy,
} from '@lockpin/fleet';
import type {Clock, RefusalReason, Result} from '@lockpin/types';
import {failure} from '@lockpin/utils';
import {KeyConfirmation} from './keyConfirmation.js';

/** What the keys need of their node. */
export interface FleetKeysContext {
  readonly clock: Clock;
  readonly fleet: Pick<FleetBrain, 'duty' | 'isCurrent'>;
  readonly policy: () => KeyPolicy;
  /** Undefined before any configuration is known. */
  readonly customers: () => CustomerTable | undefined;
  /** Asks a reader for a newer configuration; false when none can be asked. */
  readonly askReader: () => boolean;
}

/** Lives as long as the process. */
export class FleetKeys {
  private readonly confirmation: KeyConfirmation;

  constructor(private readonly context: FleetKeysContext) {
    this.confirmation = new KeyConfirmation(context.askReader);
  }

  /** The customer that a caller acts for, by the hash of the key that it showed. */
  authorize(
    hash: string | undefined,
    isPublic: boolean,
  ): Result<DeclaredCustomer | undefined, RefusalReason> {
    const customers = this.context.customers();
    if (customers === undefined) {
      return failure('not-ready');
    }
    const found = customers.customerOf(hash, isPublic);
    const isTrusted =
      !found.ok || found.value === undefined || this.trustsKeys();
    return isTrusted ? found : failure('keys-outdated');
  }

  /**
   * Whether the keys that are known here are the newest, as far as a reader knows. A
   * refusal of a key is final to its caller, and this version may be older than it.
   */
  async confirm(): Promise<boolean> {
    const {fleet, clock} = this.context;
    return fleet.isCurrent(clock()) || this.confirmation.confirm();
  }

  /** A peer answered a question, or said nothing. */
  answered(hasAnswered: boolean): void {
    this.confirmation.answered(hasAnswered);
  }

  private trustsKeys(): boolean {
    const {fleet, clock, policy} = this.context;
    return mayServeKnownKeys(policy(), fleet.duty.newsAge(clock()));
  }
}
