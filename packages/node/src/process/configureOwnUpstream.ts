// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Applies announcements of the upstream on this box to the process. */

import type {OwnUpstream} from '@lockpin/fleet';
import {incarnationText} from '@lockpin/utils';
import type {DecisionLog} from './decisionLog.js';
import type {FleetHostListeners} from './fleetEnvironment.js';
import type {FleetNodeSettings} from './fleetPorts.js';
import {ownUpstreamResource} from './ownUpstreamResource.js';

/** Settings of the upstream's node, and recipients of the change. */
export interface OwnUpstreamContext {
  readonly settings: FleetNodeSettings;
  readonly log: DecisionLog;
  /** Undefined before the host has started. */
  readonly listeners: FleetHostListeners | undefined;
}

/** Configures the connection pools and the guard for the announced upstream. */
export function configureOwnUpstream(
  {settings, log, listeners}: OwnUpstreamContext,
  upstream: OwnUpstream,
): void {
  const {service, incarnation} = upstream;
  const resource = ownUpstreamResource(settings, upstream);
  log.event('upstream-announced', {
    subject: resource.name,
    incarnation: incarnationText(incarnation),
    sequence: upstream.sequence,
    state: resource.spec.state,
  });
  listeners?.onUpstreams([resource]);
  listeners?.onGuardEvent({
    kind: 'services-changed',
    services: [{name: service, sensitivity: 'fast', upstreams: [resource]}],
  });
}
