// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin quarantine: shows the requests that are kept out, and lets one in again. */

import type {Result} from '@lockpin/types';
import type {ClientFailure} from '../apiClient.js';
import type {CommandContext} from '../commandContext.js';
import type {ExitCode} from '../exitCodes.js';
import type {Row} from '../output.js';

/** What the API lists of a request that is kept out. */
interface QuarantineResource {
  readonly name: string;
  readonly spec: {
    readonly services: readonly string[];
    readonly crashes: number;
    readonly boxes: readonly string[];
    /** In milliseconds since 1970. */
    readonly since: number;
    readonly until: number;
  };
}

interface QuarantineList {
  readonly items: readonly QuarantineResource[];
}

/** Options of lifting. */
export interface LiftOptions {
  /** As the list has it. */
  readonly digest: string;
}

/** Shows one row for each request that no upstream is to run. */
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

/** Lets a request run again, on all boxes. */
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
