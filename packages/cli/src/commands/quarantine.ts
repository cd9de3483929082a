// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin quarantine: lists quarantined requests and lifts a quarantine. */

import type {Result} from '@lockpin/types';
import type {ClientFailure} from '../apiClient.js';
import type {CommandContext} from '../commandContext.js';
import type {ExitCode} from '../exitCodes.js';
import type {Row} from '../output.js';

/** A quarantined request as listed by the API. */
interface QuarantineResource {
  readonly name: string;
  readonly spec: {
    readonly services: readonly string[];
    readonly crashes: number;
    readonly boxes: readonly string[];
    /** In milliseconds since 1970. */
    readonly since: number;
    /** In milliseconds since 1970. */
    readonly until: number;
  };
}

interface QuarantineList {
  readonly items: readonly QuarantineResource[];
}

/** Options of lifting a quarantine. */
export interface LiftOptions {
  /** The request digest as shown by the list command. */
  readonly digest: string;
}

/** Shows one row for each quarantined request. */
export async function quarantineList(
  context: CommandContext,
): Promise<ExitCode> {
  const found: Result<QuarantineList, ClientFailure> = await context.api.get(
    '/resources?kind=Quarantine',
  );
  return found.ok
    ? context.show(found.value, found.value.items.map(row))
    : context.fail(found.failure);
}

/** Lifts the quarantine of a request on all boxes. */
export async function quarantineLift(
  context: CommandContext,
  {digest}: LiftOptions,
): Promise<ExitCode> {
  const name = encodeURIComponent(digest);
  const lifted: Result<Row, ClientFailure> = await context.api.post(
    `/quarantines/${name}/lift`,
  );
  return lifted.ok
    ? context.show(lifted.value, [lifted.value])
    : context.fail(lifted.failure);
}

function row({name, spec}: QuarantineResource): Row {
  const {services, crashes, boxes, since, until} = spec;
  return {
    digest: name,
    services: services.join(' '),
    crashes,
    boxes: boxes.join(' '),
    since: new Date(since).toISOString(),
    until: new Date(until).toISOString(),
  };
}
