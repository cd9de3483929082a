// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Hands each action of the fleet's control to whoever does it. */

import type {FleetAction, OwnUpstream, PeerQuestion} from '@lockpin/fleet';
import type {DecisionLog} from './decisionLog.js';
import type {FleetHostListeners} from './fleetEnvironment.js';
import type {FleetStoreCalls} from './fleetStoreCalls.js';

/** A newer version is in force. */
export type ConfigurationChange = FleetAction & {
  readonly kind: 'configuration-changed';
};

/** Who does what the fleet's control wants done. */
export interface FleetActionTargets {
  readonly store: FleetStoreCalls;
  readonly log: DecisionLog;
  /** The rest of the process; undefined before it has started. */
  readonly listeners: () => FleetHostListeners | undefined;
  readonly askPeer: (address: string, question: PeerQuestion) => void;
  readonly configurationChanged: (change: ConfigurationChange) => void;
  /** Whoever announced it is told. */
  readonly announcementRefused: () => void;
  readonly upstreamChanged: (upstream: OwnUpstream) => void;
}

/** Does one action. */
export function performFleetAction(
  targets: FleetActionTargets,
  action: FleetAction,
): void {
  const listeners = targets.listeners();
  switch (action.kind) {
    case 'read-newest':
    case 'follow':
    case 'write':
    case 'drop-record':
    case 'write-for':
      targets.store.perform(action);
      break;
    case 'ask-peer':
      targets.askPeer(action.address, action.question);
      break;
    case 'follow-peers':
      listeners?.onFollow(action.peers);
      break;
    case 'tell-followers':
      listeners?.onFollowerNews(action.news);
      break;
    case 'tell-entries':
      listeners?.onEntryNews(action.news);
      break;
    case 'tell-nodes':
      listeners?.onNodeNews(action.addresses, action.news);
      break;
    case 'request-quarantined':
      listeners?.onQuarantined(action.digest);
      break;
    case 'configuration-changed':
      targets.configurationChanged(action);
      break;
    case 'announcement-refused':
      targets.announcementRefused();
      break;
    case 'upstream-changed':
      targets.upstreamChanged(action.upstream);
      break;
    case 'note':
      targets.log.event(action.event, {
        subject: action.subject,
        ...action.detail,
      });
      break;
  }
}
