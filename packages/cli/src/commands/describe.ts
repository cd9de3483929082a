// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin describe: shows one resource and its children. */

import type {CommandContext} from '../commandContext.js';
import type {ExitCode} from '../exitCodes.js';
import {render} from '../output.js';
import {EXIT_CODES} from '../exitCodes.js';
import {parseResourceKind} from './get.js';

/** Options of the command. */
export interface DescribeOptions {
  readonly kind: string;
  readonly name: string;
}

/** Prints a resource and its children; YAML replaces the table format. */
export async function describe(
  context: CommandContext,
  {kind, name}: DescribeOptions,
): Promise<ExitCode> {
  const resource = await context.api.resource(
    parseResourceKind(kind) ?? kind,
    name,
  );
  if (!resource.ok) {
    return context.fail(resource.failure);
  }
  const children = await context.api.list('', name);
  if (!children.ok) {
    return context.fail(children.failure);
  }
  const belongings = children.value.items.filter((item) => item.name !== name);
  const shown = {...resource.value, belongings};
  const format = context.format === 'table' ? 'yaml' : context.format;
  context.terminal.out(render(format, shown, []));
  return EXIT_CODES.success;
}
