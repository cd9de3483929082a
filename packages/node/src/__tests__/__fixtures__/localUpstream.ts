// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The resource of an upstream on this machine. */

import type {Resource, UpstreamSpec} from '@lockpin/types';

/** Describes an upstream of four slots in service. */
export function localUpstream(
  name: string,
  address: string,
  spec: Partial<UpstreamSpec> = {},
): Resource<'Upstream'> {
  return {
    kind: 'Upstream',
    name,
    version: 1,
    spec: {
      address,
      dataCentre: 'd',
      box: 'box',
      slots: 4,
      connections: 10,
      state: 'in-service',
      ...spec,
    },
  };
}
