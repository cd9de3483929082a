// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The resources of a deployment and their YAML manifests. */

import {stringify} from 'yaml';
import type {Deployment} from './deployments.js';
import type {PlacedUpstream} from './platform.js';

/** Returns all manifests as one YAML file. */
export function deploymentManifests(
  deployment: Deployment,
  upstreams: readonly PlacedUpstream[],
): string {
  return deploymentResources(deployment, upstreams)
    .map((manifest) => `---\n${stringify(manifest)}`)
    .join('');
}

/** A resource to write. */
export interface ResourceToWrite {
  readonly kind: string;
  readonly name: string;
  readonly spec: Readonly<Record<string, unknown>>;
}

/** Returns the resources that the manifests describe. */
export function deploymentResources(
  deployment: Deployment,
  upstreams: readonly PlacedUpstream[],
): readonly ResourceToWrite[] {
  const {customer, slots, connections, services} = deployment;
  return [
    {kind: 'Customer', name: customer, spec: {fairShareWeight: 1}},
    ...services.map(({name, floorSlots, sensitivity, targets}) => ({
      kind: 'Service',
      name: `${customer}/${name}`,
      spec: {
        floorSlots,
        sensitivity,
        targetSlots: targets * slots,
        host: `${name}.${customer}.example`,
      },
    })),
    ...services.flatMap(({name: service, routes}) =>
      routes.map(
        ({name, method, path, repetition, waitMilliseconds, priority}) => ({
          kind: 'Route',
          name: `${customer}/${service}/${name}`,
          spec: {
            method,
            pathPrefix: path,
            repetition,
            waitMilliseconds,
            priority,
          },
        }),
      ),
    ),
    ...upstreams.map(({name, address, dataCentre, box}) => ({
      kind: 'Upstream',
      name,
      spec: {address, dataCentre, box, slots, connections},
    })),
  ];
}
