// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Authentication of callers, validation of configurations, call priority. */

import {describe, expect, it} from 'vitest';
import {callPriority} from '../callPriority.js';
import {checkConfiguration} from '../checkConfiguration.js';
import {CustomerTable, keyFingerprint, keyHash} from '../customerTable.js';
import type {
  DeclaredConfiguration,
  DeclaredCustomer,
} from '../declaredConfiguration.js';
import {maximumReadFor, mayAcceptKnownKeys} from '../keyPolicy.js';

function customer(name: string, keys: readonly string[]): DeclaredCustomer {
  const keyHashes = keys.map(keyHash);
  return {name, keyHashes, priority: undefined, limit: undefined};
}

function configuration(
  change: Partial<DeclaredConfiguration>,
): DeclaredConfiguration {
  return {
    version: 1,
    services: [{name: 's', mostConnections: 1}],
    routes: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerMilliseconds: 1,
      idleMilliseconds: 1,
    },
    customers: [],
    ...change,
  };
}

function route(pathPrefix: string, service: string) {
  return {
    host: 'h',
    isPublic: false,
    destinations: [{service, weight: 1}],
    rules: {
      kind: 'Route' as const,
      name: 'r',
      version: 1,
      spec: {
        method: '*',
        pathPrefix,
        repetition: 'repeatable' as const,
        waitMilliseconds: 1,
        priority: 1,
        retryShare: 0,
        onceKeyHeader: '',
      },
    },
  };
}

describe('CustomerTable', () => {
  const table = new CustomerTable([
    customer('one', ['a', 'b']),
    customer('two', ['c']),
  ]);
  const resolve = (key: string | undefined, isPublic: boolean) => {
    const hash = key === undefined ? undefined : keyHash(key);
    const found = table.customerOf(hash, isPublic);
    return found.ok ? found.value?.name : found.failure;
  };

  it.each([
    ['a', false, 'one'],
    ['b', true, 'one'],
    ['c', false, 'two'],
    ['d', false, 'key-unknown'],
    ['d', true, 'key-unknown'],
    [undefined, false, 'key-missing'],
    [undefined, true, undefined],
  ])(
    'resolves a caller with key %s, public %s, to %s',
    (key, isPublic, name) => {
      expect(resolve(key, isPublic)).toBe(name);
    },
  );

  it('requires no keys if no customer is declared', () => {
    const open = new CustomerTable([]);
    expect(open.requiresKeys).toBe(false);
    expect(open.customerOf(keyHash('a'), false)).toEqual({
      ok: true,
      value: undefined,
    });
  });

  it('stores no key, and gives different keys different fingerprints', () => {
    expect(JSON.stringify(table)).not.toContain('"a"');
    expect(keyFingerprint(keyHash('a'))).not.toBe(keyFingerprint(keyHash('b')));
    expect(keyFingerprint(keyHash('a'))).toHaveLength(8);
  });
});

describe('a node without updates for a long time', () => {
  const lenient = {withdrawalMilliseconds: 5000, refusesWhenOutdated: false};
  const strict = {...lenient, refusesWhenOutdated: true};

  it('accepts known keys if operators configured it so', () => {
    expect(mayAcceptKnownKeys(lenient, undefined)).toBe(true);
    expect(mayAcceptKnownKeys(lenient, 60_000)).toBe(true);
    expect(maximumReadFor(lenient)).toBe(Infinity);
  });

  it('refuses keys that may have been withdrawn if configured so', () => {
    expect(mayAcceptKnownKeys(strict, 5000)).toBe(true);
    expect(mayAcceptKnownKeys(strict, 5001)).toBe(false);
    expect(mayAcceptKnownKeys(strict, undefined)).toBe(false);
    expect(maximumReadFor(strict)).toBe(2500);
  });
});

describe('a configuration', () => {
  it('is valid if its keys, services and prefixes are', () => {
    const valid = configuration({
      routes: [route('/a/', 's')],
      customers: [customer('one', ['a']), customer('two', ['b'])],
    });
    expect(checkConfiguration(valid)).toBeUndefined();
  });

  it.each([
    [
      'customers.two.keys',
      {customers: [customer('one', ['a']), customer('two', ['b', 'a'])]},
    ],
    ['routes.r.pathPrefix', {routes: [route('/a', 's')]}],
    ['routes.r.destinations', {routes: [route('/a/', 'none')]}],
  ])('is refused for %s', (field, change) => {
    expect(checkConfiguration(configuration(change))).toMatchObject({field});
  });
});

describe('the priority of a call', () => {
  it('depends on its customer first, then on its route', () => {
    expect(callPriority(0, 2)).toBeLessThan(callPriority(1, 0));
    expect(callPriority(1, 0)).toBeLessThan(callPriority(1, 2));
  });

  it('is that of its route if it has no customer', () => {
    expect(callPriority(undefined, 1)).toBe(callPriority(1, 1));
  });
});
