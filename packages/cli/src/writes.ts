// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Computes the writes that bring resources to the state in manifests. */

import type {ResourceKind, Result, Write} from '@lockpin/types';
import {canonicalJson, failure, success} from '@lockpin/utils';
import {checkSpec} from '@lockpin/configuration';
import type {ApiClient, ClientFailure} from './apiClient.js';
import type {Manifest} from './manifests.js';

/** Returns a write for each manifest that differs from the current resource. */
export async function writesFor(
  api: ApiClient,
  manifests: readonly Manifest[],
): Promise<Result<readonly Write[], ClientFailure>> {
  const writes: Write[] = [];
  for (const {kind, name, version, spec} of manifests) {
    const current = await api.resource(kind, name);
    if (!current.ok && current.failure.kind !== 'not-found') {
      return failure(current.failure);
    }
    const existing = current.ok ? current.value : undefined;
    const basedOn = version ?? existing?.version ?? 0;
    if (!isSame(kind, existing?.spec, spec)) {
      writes.push({operation: 'put', kind, name, basedOn, spec});
    }
  }
  return success(writes);
}

function isSame(
  kind: ResourceKind,
  existing: unknown,
  desired: unknown,
): boolean {
  const checked = checkSpec(kind, desired);
  return (
    existing !== undefined &&
    checked.ok &&
    canonicalJson(existing) === canonicalJson(checked.value)
  );
}
