// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Notes for the log of a node. */

import type {FleetAction} from './fleetMessages.js';

/** Says that something happened to a subject. */
export function note(
  event: string,
  subject: string,
  detail: Readonly<Record<string, string | number | boolean>>,
): FleetAction {
  return {kind: 'note', event, subject, detail};
}
