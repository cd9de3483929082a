// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reads settings from flags and LOCKPIN_* environment variables. */

import type {FieldProblem, Result} from '@lockpin/types';
import {failure, success} from '@lockpin/utils';
import yargs from 'yargs';
import {
  DEFAULT_SETTINGS,
  SETTING_DESCRIPTIONS,
  settingsSchema,
} from './settingsSchema.js';
import type {NodeSettings} from './settingsSchema.js';

/** The result of parsing the command line. */
export interface SettingsRequest {
  readonly settings: Result<NodeSettings, readonly FieldProblem[]>;
  /** Whether to exit after validation. */
  readonly isCheck: boolean;
}

const SETTING_NAMES = Object.keys(
  SETTING_DESCRIPTIONS,
) as readonly (keyof NodeSettings)[];

/**
 * Parses arguments; flags override the environment, and both override defaults.
 */
export async function readSettings(
  args: readonly string[],
): Promise<SettingsRequest> {
  const parser = yargs([...args])
    .scriptName('lockpin-node')
    .usage('$0 [settings]\n\nServes callers, operators and peers on one box.')
    .option('check', {
      type: 'boolean',
      default: false,
      describe: 'Validate the settings and exit',
    })
    .strict()
    .epilogue('Each setting is also read from LOCKPIN_<NAME_IN_CAPITALS>.');
  for (const name of SETTING_NAMES) {
    const defaults: Partial<NodeSettings> = DEFAULT_SETTINGS;
    const isNumber = typeof defaults[name] === 'number';
    parser.option(flagName(name), {
      type: isNumber ? 'number' : 'string',
      describe: SETTING_DESCRIPTIONS[name],
      default: fromEnvironment(name, isNumber) ?? defaults[name],
    });
  }
  const parsed = await parser.parse();
  const values = Object.fromEntries(
    SETTING_NAMES.map((name) => [name, parsed[flagName(name)]]),
  );
  return {settings: checkSettings(values), isCheck: parsed.check};
}

/** Validates values against the schema; each problem names its flag. */
export function checkSettings(
  values: Readonly<Record<string, unknown>>,
): Result<NodeSettings, readonly FieldProblem[]> {
  const given = Object.entries(values).filter(([, v]) => v !== undefined);
  const parsed = settingsSchema.safeParse({
    ...DEFAULT_SETTINGS,
    ...Object.fromEntries(given),
  });
  if (parsed.success) {
    return success(parsed.data);
  }
  return failure(
    parsed.error.issues.map((issue) => ({
      field: `--${flagName(String(issue.path[0] ?? ''))}`,
      problem: issue.message,
    })),
  );
}

/**
 * Reads only the variables of known settings; others may belong to other
 * programs.
 */
function fromEnvironment(
  name: string,
  isNumber: boolean,
): string | number | undefined {
  const variable = `LOCKPIN_${flagName(name).replaceAll('-', '_').toUpperCase()}`;
  const value = process.env[variable];
  return isNumber && value !== undefined ? Number(value) : value;
}

function flagName(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}
