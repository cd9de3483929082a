// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Generates configurations of a given size for measurements. */

import {ConfigurationState, foldChange} from '@lockpin/configuration';
import type {ChangeRecord, Write} from '@lockpin/types';
import {TARGET_SCALE} from './targetScale.js';

const WRITES_PER_CHANGE = 200;

/** Number of resources of each kind. */
export interface ConfigurationSize {
  readonly customers: number;
  readonly services: number;
  readonly upstreams: number;
  readonly routes: number;
}

/** Size of a configuration at a share of the target scale. */
export function scaledTargetSize(share: number): ConfigurationSize {
  return {
    customers: Math.round(TARGET_SCALE.customers * share),
    services: Math.round(TARGET_SCALE.services * share),
    upstreams: Math.round(TARGET_SCALE.upstreams * share),
    routes: Math.round(TARGET_SCALE.routes * share),
  };
}

/** Creates the changes that write a configuration of the given size. */
export function createChanges(
  size: ConfigurationSize,
): readonly ChangeRecord[] {
  const writes = [
    ...Array.from({length: size.customers}, (_, i) => customer(i)),
    ...Array.from({length: size.services}, (_, i) => service(i)),
    ...Array.from({length: size.routes}, (_, i) => route(i, size.services)),
    ...Array.from({length: size.upstreams}, (_, i) =>
      createUpstreamWrite(i, size.services),
    ),
  ];
  const changes: ChangeRecord[] = [];
  for (let i = 0; i < writes.length; i += WRITES_PER_CHANGE) {
    changes.push({
      kind: 'change',
      changeId: `load-${i}`,
      author: 'capacity',
      writes: writes.slice(i, i + WRITES_PER_CHANGE),
    });
  }
  return changes;
}

/** Folds changes into a new state. */
export function foldChanges(
  changes: readonly ChangeRecord[],
): ConfigurationState {
  const state = new ConfigurationState();
  changes.forEach((value, offset) => foldChange(state, {offset, value}));
  return state;
}

/** Name of the service with the given index. */
export function serviceName(i: number): string {
  return `customer-${i}/service-${i}`;
}

/** Creates a write of the upstream with the given index. */
export function createUpstreamWrite(
  i: number,
  services: number,
  slots = 4,
): Write {
  const box = i % TARGET_SCALE.nodes;
  return {
    operation: 'put',
    kind: 'Upstream',
    name: `${serviceName(i % services)}/upstream-${i}`,
    basedOn: 0,
    spec: {
      address: `10.${(box >> 8) & 255}.${box & 255}.1:${8000 + (i % 1000)}`,
      dataCentre: `data-centre-${box % TARGET_SCALE.dataCentres}`,
      box: `box-${box}`,
      slots,
      connections: 300,
      state: 'in-service',
    },
  };
}

function customer(i: number): Write {
  return {
    operation: 'put',
    kind: 'Customer',
    name: `customer-${i}`,
    basedOn: 0,
    spec: {fairShareWeight: 1},
  };
}

function service(i: number): Write {
  return {
    operation: 'put',
    kind: 'Service',
    name: serviceName(i),
    basedOn: 0,
    spec: {floorSlots: 80, targetSlots: 150, host: `service-${i}.example`},
  };
}

function route(i: number, services: number): Write {
  return {
    operation: 'put',
    kind: 'Route',
    name: `${serviceName(i % services)}/route-${i}`,
    basedOn: 0,
    spec: {
      pathPrefix: `/path-${i}`,
      repetition: i % 4 === 0 ? 'once-only' : 'repeatable',
      waitMilliseconds: 2000,
    },
  };
}
