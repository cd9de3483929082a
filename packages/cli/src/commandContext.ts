// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The API client, output and error reporting that all commands share. */

import {ApiClient} from './apiClient.js';
import type {ClientFailure} from './apiClient.js';
import {EXIT_CODES} from './exitCodes.js';
import type {ExitCode} from './exitCodes.js';
import {explainFailure} from './failureText.js';
import {render} from './output.js';
import type {OutputFormat, Row} from './output.js';

/** Options that all commands share. */
export interface CommonOptions {
  readonly node: string;
  readonly token: string;
  readonly output: OutputFormat;
}

/** Writes to standard output and error; tests pass their own functions. */
export interface Terminal {
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
}

/** The context in which a command runs. */
export class CommandContext {
  readonly api: ApiClient;

  constructor(
    private readonly options: CommonOptions,
    readonly terminal: Terminal,
  ) {
    this.api = new ApiClient({address: options.node, token: options.token});
  }

  get format(): OutputFormat {
    return this.options.output;
  }

  /** Prints a value and returns the exit code of success. */
  show(value: unknown, rows: readonly Row[]): ExitCode {
    this.terminal.out(render(this.options.output, value, rows));
    return EXIT_CODES.success;
  }

  /** Prints an error message and returns its exit code. */
  fail(failure: ClientFailure): ExitCode {
    const {text, exitCode} = explainFailure(failure);
    this.terminal.err(`${text}\n`);
    return exitCode;
  }
}
