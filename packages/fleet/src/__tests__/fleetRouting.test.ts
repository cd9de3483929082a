// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Routing of calls under a declared configuration. */

import fc from 'fast-check';
import {describe, expect, it, vi} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import {BoxDirectory} from '../boxDirectory.js';
import type {DeclaredConfiguration} from '../declaredConfiguration.js';
import {FleetRouting} from '../fleetRouting.js';
import {RouteTable} from '../routeTable.js';
import {WeightedRoundRobin} from '../weightedRoundRobin.js';

function route(host: string, pathPrefix: string, services = ['s']) {
  return {
    host,
    destinations: services.map((service) => ({service, weight: 50})),
    isPublic: false,
    rules: {
      kind: 'Route' as const,
      name: `${host} ${pathPrefix}`,
      version: 1,
      spec: {
        method: '*',
        pathPrefix,
        repetition: 'repeatable' as const,
        waitMilliseconds: 1000,
        priority: 0,
        retryShare: 0,
        onceKeyHeader: '',
      },
    },
  };
}

function configuration(
  version: number,
  routes: DeclaredConfiguration['routes'],
): DeclaredConfiguration {
  const services = [{name: 's', mostConnections: 10}];
  const limits = {
    headerBytes: 1,
    bodyBytes: 1,
    headerMilliseconds: 1,
    idleMilliseconds: 1,
  };
  return {version, routes, services, limits, customers: []};
}

describe('RouteTable', () => {
  const table = new RouteTable({
    routes: [
      route('a.example', '/'),
      route('a.example', '/x/'),
      route('a.example', '/x/y/'),
      route('b.example', '/x/'),
    ],
  });

  it.each([
    ['a.example', '/x/y/z', 'a.example /x/y/'],
    ['a.example', '/x/z', 'a.example /x/'],
    ['A.Example:80', '/x/z?q=/x/y/', 'a.example /x/'],
    ['a.example', '/x', 'a.example /'],
    ['a.example', '/xy/', 'a.example /'],
    ['b.example', '/x/', 'b.example /x/'],
  ])('finds the longest prefix of %s%s', (host, path, name) => {
    expect(table.find(host, path)?.rules.name).toBe(name);
  });

  it('looks up few parts of a long path, whose prefixes could match', () => {
    const lookUps = vi.spyOn(Map.prototype, 'get');
    table.find('b.example', '/'.repeat(30_000));
    const count = lookUps.mock.calls.length;
    lookUps.mockRestore();
    expect(count).toBeLessThan(20);
  });

  it.each([
    ['b.example', '/'],
    ['b.example', '/x'],
    ['c.example', '/x/'],
  ])('finds nothing for %s%s', (host, path) => {
    expect(table.find(host, path)).toBeUndefined();
  });
});

describe('WeightedRoundRobin', () => {
  it('keeps each share of any run of calls to within one call of each kind', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 100}), {minLength: 2, maxLength: 4}),
        fc.integer({min: 1, max: 300}),
        fc.integer(),
        (weights, calls, seed) => {
          const destinations = weights.map((weight, i) => ({
            service: String(i),
            weight,
          }));
          const roundRobin = new WeightedRoundRobin(
            destinations,
            seededRandom(seed),
          );
          const counts = weights.map(() => 0);
          for (let i = 0; i < calls; i += 1) {
            const service = Number(roundRobin.next());
            counts[service] = (counts[service] ?? 0) + 1;
          }
          const total = weights.reduce((sum, weight) => sum + weight, 0);
          weights.forEach((weight, i) => {
            const expected = (calls * weight) / total;
            expect(Math.abs((counts[i] ?? 0) - expected)).toBeLessThanOrEqual(
              weights.length,
            );
          });
        },
      ),
    );
  });
});

describe('FleetRouting', () => {
  it('keeps the round-robin state of a route that a new version does not change', () => {
    const directory = new BoxDirectory();
    const random = () => 0;
    const split = route('a.example', '/', ['s', 't']);
    const first = new FleetRouting(
      configuration(1, [split]),
      directory,
      random,
    );
    const services = [first.find('a.example', '/')?.view.name];
    const second = new FleetRouting(
      configuration(2, [split]),
      directory,
      random,
      first,
    );
    services.push(second.find('a.example', '/')?.view.name);
    expect(services.sort()).toEqual(['s', 't']);
    expect(second.find('a.example', '/')?.version).toBe(2);
  });

  it('returns the same view until a box record changes', () => {
    const directory = new BoxDirectory();
    const routing = new FleetRouting(
      configuration(1, [route('a.example', '/')]),
      directory,
      () => 0,
    );
    const before = routing.view('s');
    expect(routing.view('s')).toBe(before);
    directory.put({
      box: 'b',
      dataCentre: 'd',
      peerAddress: 'p',
      service: 's',
      slots: 3,
      takesWork: true,
      coldUntil: 0,
      statedAt: 1,
    });
    expect(routing.view('s').upstreams).toMatchObject([
      {name: 's/b', spec: {box: 'b', slots: 3, state: 'in-service'}},
    ]);
  });
});
