// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Manifests in YAML or JSON, one or many in a file. */

import {readFile} from 'node:fs/promises';
import {checkName, checkSpec, isResourceKind} from '@lockpin/configuration';
import type {FieldProblem, ResourceKind, Result} from '@lockpin/types';
import {failure, success} from '@lockpin/utils';
import {parseAllDocuments} from 'yaml';

/** A resource as an operator writes it down. */
export interface Manifest {
  readonly kind: ResourceKind;
  readonly name: string;
  /** Version it is based on; the present one when left out. */
  readonly version: number | undefined;
  readonly spec: unknown;
}

const FIELDS: ReadonlySet<string> = new Set([
  'kind',
  'name',
  'version',
  'spec',
]);

/** Reads and checks files; each problem names its file and field. */
export async function readManifests(
  files: readonly string[],
): Promise<Result<readonly Manifest[], readonly FieldProblem[]>> {
  const manifests: Manifest[] = [];
  const problems: FieldProblem[] = [];
  for (const file of files) {
    const read = await readText(file);
    if (!read.ok) {
      problems.push({field: file, problem: `cannot be read: ${read.failure}`});
      continue;
    }
    const parsed = parseManifests(read.value);
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

/** The text of a file, or the code of the error that says why there is none. */
async function readText(file: string): Promise<Result<string, string>> {
  try {
    return success(await readFile(file, 'utf8'));
  } catch (error) {
    const {code, message} = error as NodeJS.ErrnoException;
    return failure(code ?? message);
  }
}

/** Parses the documents of one file. */
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
    return failure([{field: 'document', problem: 'give kind, name and spec'}]);
  }
  const {kind, name, version, spec} = value as Record<string, unknown>;
  if (typeof kind !== 'string' || !isResourceKind(kind)) {
    return failure([{field: 'kind', problem: 'no such kind of resource'}]);
  }
  if (typeof name !== 'string') {
    return failure([{field: `${kind}.name`, problem: 'give a name'}]);
  }
  const unknownFields = Object.keys(value).filter((key) => !FIELDS.has(key));
  const checked = checkSpec(kind, spec ?? {});
  const problems = [
    ...unknownFields.map((field) => ({field, problem: 'no such field'})),
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
