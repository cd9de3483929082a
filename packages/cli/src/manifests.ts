// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reads and validates resource manifests in YAML or JSON. */

import {readFile} from 'node:fs/promises';
import {checkName, checkSpec, isResourceKind} from '@lockpin/configuration';
import type {FieldProblem, ResourceKind, Result} from '@lockpin/types';
import {failure, success} from '@lockpin/utils';
import {parseAllDocuments} from 'yaml';

/** A resource as declared in a manifest file. */
export interface Manifest {
  readonly kind: ResourceKind;
  readonly name: string;
  /** The version the change is based on; defaults to the current version. */
  readonly version: number | undefined;
  readonly spec: unknown;
}

const MANIFEST_FIELDS: ReadonlySet<string> = new Set([
  'kind',
  'name',
  'version',
  'spec',
]);

/** Reads and validates files; each problem names its file and field. */
export async function readManifests(
  files: readonly string[],
): Promise<Result<readonly Manifest[], readonly FieldProblem[]>> {
  const manifests: Manifest[] = [];
  const problems: FieldProblem[] = [];
  for (const file of files) {
    const text = await readText(file);
    if (!text.ok) {
      problems.push({field: file, problem: `cannot be read: ${text.failure}`});
      continue;
    }
    const parsed = parseManifests(text.value);
    if (parsed.ok) {
      manifests.push(...parsed.value);
    } else {
      problems.push(
        ...parsed.failure.map(({field, problem}) => ({
          field: `${file}: ${field}`,
          problem,
        })),
      );
    }
  }
  return problems.length > 0 ? failure(problems) : success(manifests);
}

/** Reads a file; fails with the error code, such as ENOENT. */
async function readText(file: string): Promise<Result<string, string>> {
  try {
    return success(await readFile(file, 'utf8'));
  } catch (error) {
    const {code, message} = error as NodeJS.ErrnoException;
    return failure(code ?? message);
  }
}

/** Parses and validates the documents of one file. */
export function parseManifests(
  text: string,
): Result<readonly Manifest[], readonly FieldProblem[]> {
  const manifests: Manifest[] = [];
  const problems: FieldProblem[] = [];
  parseAllDocuments(text).forEach((document, i) => {
    const [error] = document.errors;
    if (error !== undefined) {
      const [line] = error.message.split('\n');
      problems.push({field: `document ${i + 1}`, problem: line ?? ''});
      return;
    }
    for (const value of [document.toJS() as unknown].flat()) {
      const checked = checkManifest(value);
      if (checked.ok) {
        manifests.push(checked.value);
      } else {
        problems.push(...checked.failure);
      }
    }
  });
  return problems.length > 0 ? failure(problems) : success(manifests);
}

function checkManifest(
  value: unknown,
): Result<Manifest, readonly FieldProblem[]> {
  if (typeof value !== 'object' || value === null) {
    return failure([
      {
        field: 'document',
        problem: 'must be an object with kind, name and spec',
      },
    ]);
  }
  const {kind, name, version, spec} = value as Record<string, unknown>;
  if (typeof kind !== 'string' || !isResourceKind(kind)) {
    return failure([{field: 'kind', problem: 'unknown resource kind'}]);
  }
  if (typeof name !== 'string') {
    return failure([{field: `${kind}.name`, problem: 'must be a string'}]);
  }
  const unknownFields = Object.keys(value).filter(
    (key) => !MANIFEST_FIELDS.has(key),
  );
  const checked = checkSpec(kind, spec ?? {});
  const problems = [
    ...unknownFields.map((field) => ({field, problem: 'unknown field'})),
    ...checkName(kind, name),
    ...(checked.ok ? [] : checked.failure),
  ];
  if (problems.length > 0) {
    return failure(
      problems.map(({field, problem}) => ({
        field: `${kind} ${name}: ${field}`,
        problem,
      })),
    );
  }
  const basedOn = typeof version === 'number' ? version : undefined;
  return success({kind, name, version: basedOn, spec: spec ?? {}});
}
