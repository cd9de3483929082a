// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Comparing the processes of upstreams: an id may be used again by a later one. */

import type {UpstreamIncarnation} from '@lockpin/types';

/** Whether both are one process. */
export function isSameIncarnation(
  a: UpstreamIncarnation | undefined,
  b: UpstreamIncarnation | undefined,
): boolean {
  return a?.id === b?.id && a?.startedAt === b?.startedAt;
}

/** The incarnation as one text, as a key and for logs. */
export function incarnationText({id, startedAt}: UpstreamIncarnation): string {
  return `${id}@${startedAt}`;
}
