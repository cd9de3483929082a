// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Structured logging with loglevel: one JSON line per event on standard error.
 */

import loglevel from 'loglevel';

/** Log levels that can be configured, least severe first. */
export const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error'] as const;

/** A log level. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Additional fields of a log line; must not contain secrets. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;

/** Writes log lines that include the fields common to the process. */
export interface Logger {
  readonly debug: (message: string, fields?: LogFields) => void;
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly error: (message: string, fields?: LogFields) => void;
}

/** Output of a logger; replaced in tests to capture the lines. */
export type LineWriter = (line: string) => void;

/** Creates a logger whose lines include the given common fields. */
export function createLogger(
  level: LogLevel,
  common: LogFields,
  write: LineWriter = (line) => process.stderr.write(`${line}\n`),
): Logger {
  const underlying = loglevel.getLogger(Symbol('lockpin'));
  underlying.methodFactory = (method) => (message, fields: LogFields) =>
    write(
      JSON.stringify({
        time: new Date().toISOString(),
        level: method,
        message,
        ...common,
        ...fields,
      }),
    );
  underlying.setLevel(level, false);
  return {
    debug: (message, fields) => underlying.debug(message, fields),
    info: (message, fields) => underlying.info(message, fields),
    warn: (message, fields) => underlying.warn(message, fields),
    error: (message, fields) => underlying.error(message, fields),
  };
}
