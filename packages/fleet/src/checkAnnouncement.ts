// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Whether an announcement names an upstream that work may go to. */

import {parseAddress} from '@lockpin/utils';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {NodeIdentity} from './nodeIdentity.js';
import type {AnnouncementProblem, UpstreamAnnouncement} from './ownUpstream.js';

/** Whoever leaves is believed; work goes only to what is declared, and here. */
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
  return isOnBoxOf(peerAddress, address)
    ? undefined
    : {field: 'address', problem: 'is not on the box of this node'};
}

/** An upstream shares its box, and so the IP number, with the node that guards it. */
function isOnBoxOf(peerAddress: string, address: string): boolean {
  const own = parseAddress(peerAddress);
  const told = parseAddress(address);
  return told !== undefined && (own === undefined || own.host === told.host);
}
