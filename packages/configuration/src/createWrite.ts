// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A write that creates a resource. */

import type {ResourceKind, Write} from '@lockpin/types';

/** Creates the write of a new resource; fields with defaults are optional. */
export function createWrite(
  kind: ResourceKind,
  name: string,
  spec: unknown,
): Write {
  return {operation: 'put', kind, name, basedOn: 0, spec};
}
