// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Error messages for failed requests, with what the operator can do. */

import type {ClientFailure} from './apiClient.js';
import {EXIT_CODES} from './exitCodes.js';
import type {ExitCode} from './exitCodes.js';

/** An error message and the exit code of the process. */
export interface ExplainedFailure {
  readonly text: string;
  readonly exitCode: ExitCode;
}

/** Returns the error message and exit code for a failure. */
export function explainFailure(failure: ClientFailure): ExplainedFailure {
  switch (failure.kind) {
    case 'invalid':
      return {
        text: failure.problems
          .map(({field, problem}) => `${field}: ${problem}`)
          .join('\n'),
        exitCode: EXIT_CODES.invalid,
      };
    case 'conflict':
      return {
        text:
          `${failure.resource} was changed concurrently: this change was based on version ` +
          `${failure.basedOn}, but version ${failure.winnerVersion} was accepted first` +
          `${failure.winnerChangeId && ` (change ${failure.winnerChangeId})`}. ` +
          `Nothing was changed; get the current version and apply again.`,
        exitCode: EXIT_CODES.conflict,
      };
    case 'not-found':
      return {
        text: `${failure.resource} does not exist, or this token may not read it.`,
        exitCode: EXIT_CODES.notFound,
      };
    case 'token-wrong':
      return {
        text: 'The token is missing or invalid; pass --token name.secret or set LOCKPIN_TOKEN.',
        exitCode: EXIT_CODES.denied,
      };
    case 'out-of-scope':
      return {
        text: `This token is limited to ${failure.scope}; nothing was changed.`,
        exitCode: EXIT_CODES.denied,
      };
    case 'version-expired':
      return {
        text: `That version is too old to resume from; list again, then watch from the version listed (oldest: ${failure.oldest}).`,
        exitCode: EXIT_CODES.failed,
      };
    case 'not-ready':
      return {
        text: 'The node has no configuration in force yet; retry, or use another node.',
        exitCode: EXIT_CODES.unavailable,
      };
    case 'log-unavailable':
      return failure.outcome === 'not-published'
        ? {
            text: "The platform's log is unavailable; the change was not published and will not take effect. Apply again later.",
            exitCode: EXIT_CODES.unavailable,
          }
        : {
            text: `The platform's log did not confirm the change; it may still take effect. Check its outcome with: lockpin get change ${failure.changeId}`,
            exitCode: EXIT_CODES.unknown,
          };
    case 'node-unreachable':
      return {
        text: `No node answers at ${failure.address}; select another with --node.`,
        exitCode: EXIT_CODES.unavailable,
      };
  }
}
