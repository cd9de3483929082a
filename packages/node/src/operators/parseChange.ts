// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Parses change requests of operators. */

import type {FieldProblem, Result, Write} from '@lockpin/types';
import {failure, success} from '@lockpin/utils';
import {z} from 'zod';

const write = z.discriminatedUnion('operation', [
  z.strictObject({
    operation: z.literal('put'),
    kind: z.enum(['Customer', 'Service', 'Upstream', 'Route', 'Token']),
    name: z.string(),
    basedOn: z.number().int().min(0),
    spec: z.unknown(),
  }),
  z.strictObject({
    operation: z.literal('delete'),
    kind: z.enum(['Customer', 'Service', 'Upstream', 'Route', 'Token']),
    name: z.string(),
    basedOn: z.number().int().min(0),
  }),
]);

const change = z.strictObject({
  changeId: z
    .string()
    .regex(/^[A-Za-z0-9-]{8,64}$/, 'give 8 to 64 letters, digits and -')
    .optional(),
  writes: z.array(write).min(1),
});

/** A change as submitted by an operator. */
export interface SubmittedChange {
  readonly changeId?: string | undefined;
  readonly writes: readonly Write[];
}

/** Parses the body of a change request; each problem names its field. */
export function parseChange(
  body: Buffer,
): Result<SubmittedChange, readonly FieldProblem[]> {
  const json = tryParseJson(body);
  if (json === undefined) {
    return failure([{field: 'body', problem: 'give JSON'}]);
  }
  const parsed = change.safeParse(json);
  if (parsed.success) {
    return success(parsed.data as SubmittedChange);
  }
  return failure(
    parsed.error.issues.map((issue) => ({
      field: issue.path.join('.') || 'body',
      problem: issue.message,
    })),
  );
}

function tryParseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}
