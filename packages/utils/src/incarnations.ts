// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Comparison of upstream processes: a later process may reuse an id. */

import type {UpstreamIncarnation} from '@lockpin/types';

/** Whether both are the same process. */
export function isSameIncarnation(
  a: UpstreamIncarnation | undefined,
  b: UpstreamIncarnation | undefined,
): boolean {
  return a?.id === b?.id && a?.startedAt === b?.startedAt;
}

/** Formats an incarnation as text, for use as a key and in logs. */
export function incarnationText({id, startedAt}: UpstreamIncarnation): string {
  return `${id}@${startedAt}`;
}
