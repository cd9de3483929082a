// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tells the process what the upstream of this box has said of itself. */

import type {OwnUpstream} from '@lockpin/fleet';
import {incarnationText} from '@lockpin/utils';
import type {DecisionLog} from './decisionLog.js';
import type {FleetHostListeners} from './fleetEnvironment.js';
import type {FleetNodeSettings} from './fleetPorts.js';
import {ownUpstreamResource} from './ownUpstreamResource.js';

/** Whose upstream it is, and who is told. */
export interface OwnUpstreamNews {
  readonly settings: FleetNodeSettings;
  readonly log: DecisionLog;
  /** Undefined before the process has started. */
  readonly listeners: FleetHostListeners | undefined;
}

/** The pools connect to it and the guard takes calls for it from here on. */
export function tellOfOwnUpstream(
  {settings, log, listeners}: OwnUpstreamNews,
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
