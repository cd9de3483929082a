// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Creates actions that add events to the timeline. */

import type {ControlAction} from './controlMessages.js';

/** The action that adds an event to the timeline. */
export function timelineAction(
  event: string,
  subject: string,
  detail: Readonly<Record<string, string | number | boolean>>,
): ControlAction {
  return {kind: 'timeline', event, subject, detail};
}
