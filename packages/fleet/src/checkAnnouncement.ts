// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Validates upstream announcements before work is sent to the upstream. */

import {parseAddress} from '@lockpin/utils';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {NodeIdentity} from './nodeIdentity.js';
import type {AnnouncementProblem, UpstreamAnnouncement} from './ownUpstream.js';

/**
 * An announcement of draining or leaving is always accepted; a ready upstream
 * must be of a declared service and on this box.
 */
export function checkAnnouncement(
  {state, service, address}: UpstreamAnnouncement,
  {peerAddress}: NodeIdentity,
  configuration: DeclaredConfiguration | undefined,
): AnnouncementProblem | undefined {
  if (state !== 'ready') {
    return undefined;
  }
  const declared = configuration?.services ?? [];
  const isDeclared = declared.some(({name}) => name === service);
  if (configuration !== undefined && !isDeclared) {
    return {field: 'service', problem: 'is not declared'};
  }
  return isOnSameHost(peerAddress, address)
    ? undefined
    : {field: 'address', problem: 'is not on the box of this node'};
}

/**
 * An upstream shares its box, and so its IP address, with the node that guards
 * it.
 */
function isOnSameHost(peerAddress: string, address: string): boolean {
  const own = parseAddress(peerAddress);
  const sent = parseAddress(address);
  return sent !== undefined && (own === undefined || own.host === sent.host);
}
