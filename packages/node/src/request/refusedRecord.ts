// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What the log is told of requests that never became calls. */

import type {RefusalReason} from '@lockpin/types';

/** A request that was refused for who its caller is. */
export interface RefusedRecord {
  readonly requestId: string;
  readonly reason: RefusalReason;
  readonly [detail: string]: string | number;
}
