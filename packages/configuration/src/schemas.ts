// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Strict schemas of every resource, with their limits and defaults. */

import {z} from 'zod';
import {parseAddress} from '@lockpin/utils';
import type {
  FieldProblem,
  ResourceKind,
  Result,
  SpecByKind,
} from '@lockpin/types';
import {failure, success} from '@lockpin/utils';

/** Limits that the schemas enforce; see docs/reference/resources.md. */
export const RESOURCE_LIMITS = {
  nameLength: 63,
  slotsPerUpstream: 1024,
  connectionsPerUpstream: 10_000,
  waitMilliseconds: 600_000,
  writesPerChange: 200,
  pathLength: 512,
} as const;

const namePart = z
  .string()
  .regex(
    new RegExp(`^[a-z0-9]([a-z0-9-]{0,${RESOURCE_LIMITS.nameLength - 1}})$`),
    'use 1 to 63 of a-z, 0-9 and -, starting with a letter or digit',
  );

const path = z
  .string()
  .max(RESOURCE_LIMITS.pathLength)
  .regex(/^\/\S*$/, 'start the path with / and use no spaces');

const address = z.string().refine((text) => parseAddress(text) !== undefined, {
  message: 'give an IP number and port, such as 127.0.0.1:8080, not a name',
});

const slots = z.number().int().min(0).max(1_000_000);

const customer = z.strictObject({
  fairShareWeight: z.number().min(0.01).max(100).default(1),
});

const service = z.strictObject({
  floorSlots: slots.default(0),
  targetSlots: slots.default(0),
  loadReportPath: path.default('/load'),
  sensitivity: z.enum(['fast', 'balanced', 'careful']).default('balanced'),
  host: z.string().max(253).default(''),
  callerCredentialHash: z
    .string()
    .regex(/^$|^[0-9a-f]{32}:[0-9a-f]{64}$/, 'give salt:hash or leave empty')
    .default(''),
});

const upstream = z.strictObject({
  address,
  dataCentre: namePart,
  box: namePart,
  slots: z.number().int().min(1).max(RESOURCE_LIMITS.slotsPerUpstream),
  connections: z
    .number()
    .int()
    .min(1)
    .max(RESOURCE_LIMITS.connectionsPerUpstream)
    .default(300),
  state: z.enum(['in-service', 'draining']).default('in-service'),
});

const route = z.strictObject({
  method: z
    .string()
    .regex(/^(\*|[A-Z]{1,16})$/, 'give a method in capitals, or *')
    .default('*'),
  pathPrefix: path,
  repetition: z.enum(['repeatable', 'once-only']),
  waitMilliseconds: z
    .number()
    .int()
    .min(1)
    .max(RESOURCE_LIMITS.waitMilliseconds),
  priority: z.number().int().min(0).max(9).default(5),
  retryShare: z.number().min(0).max(1).default(0.1),
  onceKeyHeader: z
    .string()
    .regex(/^[a-z0-9-]{1,64}$/, 'give a header name in lower case')
    .default('lockpin-once-key'),
});

const token = z.strictObject({
  scope: z.union([z.literal('*'), namePart]),
  salt: z.string().regex(/^[0-9a-f]{32}$/, 'give 16 bytes in hexadecimal'),
  hash: z.string().regex(/^[0-9a-f]{64}$/, 'give a SHA-256 in hexadecimal'),
});

const specSchemas = {
  Customer: customer,
  Service: service,
  Upstream: upstream,
  Route: route,
  Token: token,
} as const;

const nameParts: Readonly<Record<ResourceKind, number>> = {
  Customer: 1,
  Token: 1,
  Service: 2,
  Upstream: 3,
  Route: 3,
};

/** All kinds in the order of their dependencies. */
export const RESOURCE_KINDS = Object.keys(nameParts).sort(
  (a, b) => nameParts[a as ResourceKind] - nameParts[b as ResourceKind],
) as readonly ResourceKind[];

/** Whether a string is the name of a resource kind. */
export function isResourceKind(text: string): text is ResourceKind {
  return text in nameParts;
}

/** Validates a name against the format that its kind requires. */
export function checkName(
  kind: ResourceKind,
  name: string,
): readonly FieldProblem[] {
  const parts = name.split('/');
  if (parts.length !== nameParts[kind]) {
    const shape = ['customer', 'customer/service', 'customer/service/name'];
    return [
      {
        field: 'name',
        problem: `a ${kind} is named ${shape[nameParts[kind] - 1]}`,
      },
    ];
  }
  return parts.flatMap((part) => {
    const parsed = namePart.safeParse(part);
    return parsed.success
      ? []
      : [{field: 'name', problem: parsed.error.issues[0]?.message ?? ''}];
  });
}

/** Fills in defaults and validates a spec; each problem names its field. */
export function checkSpec<K extends ResourceKind>(
  kind: K,
  spec: unknown,
): Result<SpecByKind[K], readonly FieldProblem[]> {
  const parsed = specSchemas[kind].safeParse(spec);
  if (parsed.success) {
    return success(parsed.data as SpecByKind[K]);
  }
  return failure(
    parsed.error.issues.map((issue) => ({
      field: ['spec', ...issue.path].join('.'),
      problem: issue.message,
    })),
  );
}
