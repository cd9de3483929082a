// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Identifies customers by the keys that callers present. */

import {failure, sha256Hex, success} from '@lockpin/utils';
import type {RefusalReason, Result} from '@lockpin/types';
import type {RateLimit} from '@lockpin/limits';
import type {DeclaredCustomer} from './declaredConfiguration.js';

/** Hexadecimal digits of a key's hash that are stored: 128 bits. */
const HASH_DIGITS = 32;

/** Digits of the hash that identify a key in a log line. */
const FINGERPRINT_DIGITS = 8;

/**
 * The stored form of a key. Keys are long and random, so an unsalted hash
 * cannot be reversed by guessing; half of it keeps configurations small on the
 * wire.
 */
export function keyHash(key: string): string {
  return sha256Hex(key).slice(0, HASH_DIGITS);
}

/** Identifies a key in logs without making it easier to guess. */
export function keyFingerprint(hash: string): string {
  return hash.slice(0, FINGERPRINT_DIGITS);
}

/** The customers of one configuration version. */
export class CustomerTable {
  private readonly owners = new Map<string, DeclaredCustomer>();
  private readonly byName = new Map<string, DeclaredCustomer>();

  constructor(private readonly customers: readonly DeclaredCustomer[]) {
    for (const customer of customers) {
      customer.keyHashes.forEach((hash) => this.owners.set(hash, customer));
      this.byName.set(customer.name, customer);
    }
  }

  /** Whether callers need a key. */
  get requiresKeys(): boolean {
    return this.customers.length > 0;
  }

  /** A customer by its name. */
  named(name: string): DeclaredCustomer | undefined {
    return this.byName.get(name);
  }

  /** Customers whose limits differ from those of an earlier version. */
  changedLimits(before: CustomerTable): readonly string[] {
    return this.customers
      .filter(({name, limit}) => !isSameLimit(limit, before.named(name)?.limit))
      .map(({name}) => name);
  }

  /**
   * The customer that a caller acts for; undefined on a public route without a
   * key.
   */
  customerOf(
    hash: string | undefined,
    isPublic: boolean,
  ): Result<DeclaredCustomer | undefined, RefusalReason> {
    if (!this.requiresKeys || (hash === undefined && isPublic)) {
      return success(undefined);
    }
    if (hash === undefined) {
      return failure('key-missing');
    }
    const owner = this.owners.get(hash);
    return owner === undefined ? failure('key-unknown') : success(owner);
  }
}

function isSameLimit(
  a: RateLimit | undefined,
  b: RateLimit | undefined,
): boolean {
  return a?.callsPerSecond === b?.callsPerSecond && a?.burst === b?.burst;
}
