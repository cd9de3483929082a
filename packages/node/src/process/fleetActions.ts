// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Dispatches actions of the fleet's state machine to their handlers. */

import type {FleetAction, OwnUpstream, PeerQuery} from '@lockpin/fleet';
import type {DecisionLog} from './decisionLog.js';
import type {FleetHostListeners} from './fleetEnvironment.js';
import type {FleetStoreCalls} from './fleetStoreCalls.js';

/** The action for a newer configuration version in force. */
export type ConfigurationChange = FleetAction & {
  readonly kind: 'configuration-changed';
};

/** Handlers of the actions of the fleet's state machine. */
export interface FleetActionHandlers {
  readonly store: FleetStoreCalls;
  readonly log: DecisionLog;
  /**
   * Listeners in the rest of the process; undefined before the host has
   * started.
   */
  readonly listeners: () => FleetHostListeners | undefined;
  readonly queryPeer: (address: string, query: PeerQuery) => void;
  readonly configurationChanged: (change: ConfigurationChange) => void;
  /** The announcing process gets the refusal as the result of its call. */
  readonly announcementRefused: () => void;
  readonly upstreamChanged: (upstream: OwnUpstream) => void;
}

/** Performs an action. */
export function performFleetAction(
  handlers: FleetActionHandlers,
  action: FleetAction,
): void {
  const listeners = handlers.listeners();
  switch (action.kind) {
    case 'read-newest':
    case 'follow':
    case 'write':
    case 'delete-record':
    case 'write-on-behalf':
      handlers.store.perform(action);
      break;
    case 'query-peer':
      handlers.queryPeer(action.address, action.query);
      break;
    case 'follow-peers':
      listeners?.onFollow(action.peers);
      break;
    case 'notify-followers':
      listeners?.onFollowerUpdate(action.news);
      break;
    case 'notify-entries':
      listeners?.onEntryUpdate(action.news);
      break;
    case 'notify-nodes':
      listeners?.onNodeUpdate(action.addresses, action.news);
      break;
    case 'request-version':
      listeners?.onVersionRequest(action.address, action.clock);
      break;
    case 'peer-unresponsive':
      listeners?.onPeerUnresponsive(action.address);
      break;
    case 'request-quarantined':
      listeners?.onQuarantined(action.digest);
      break;
    case 'configuration-changed':
      handlers.configurationChanged(action);
      break;
    case 'announcement-refused':
      handlers.announcementRefused();
      break;
    case 'upstream-changed':
      handlers.upstreamChanged(action.upstream);
      break;
    case 'log-event':
      handlers.log.event(action.event, {
        subject: action.subject,
        ...action.detail,
      });
      break;
  }
}
