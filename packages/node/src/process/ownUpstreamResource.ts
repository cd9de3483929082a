// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The resource with which a guard is configured for the upstream on its box.
 */

import {upstreamName} from '@lockpin/fleet';
import type {OwnUpstream} from '@lockpin/fleet';
import type {Resource} from '@lockpin/types';
import type {FleetNodeSettings} from './fleetPorts.js';

/**
 * Only this node connects to the upstream, with one connection for each slot.
 */
export function ownUpstreamResource(
  {box, dataCentre}: Pick<FleetNodeSettings, 'box' | 'dataCentre'>,
  upstream: OwnUpstream,
): Resource<'Upstream'> {
  const {service, address, slots, takesWork, incarnation, coldUntil} = upstream;
  return {
    kind: 'Upstream',
    name: upstreamName(service, box),
    version: upstream.sequence,
    spec: {
      address,
      dataCentre,
      box,
      slots,
      connections: slots,
      state: takesWork ? 'in-service' : 'draining',
      incarnation,
      coldUntil,
    },
  };
}
