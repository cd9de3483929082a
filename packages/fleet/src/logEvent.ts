// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Builds log events. */

import type {FleetAction} from './fleetMessages.js';

/** An action that logs an event of a subject. */
export function logEvent(
  event: string,
  subject: string,
  detail: Readonly<Record<string, string | number | boolean>>,
): FleetAction {
  return {kind: 'log-event', event, subject, detail};
}
