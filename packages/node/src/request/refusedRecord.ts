// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The log record of a request that did not become a call. */

import type {RefusalReason} from '@lockpin/types';

/** A request that was refused because of its caller. */
export interface RefusedRequestRecord {
  readonly requestId: string;
  readonly reason: RefusalReason;
  readonly [detail: string]: string | number;
}
