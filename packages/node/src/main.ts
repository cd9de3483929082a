#!/usr/bin/env node
// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The lockpin-node binary. */

import {composeNode, TOKENS} from './process/composition.js';
import {runNode} from './process/runNode.js';
import {readSettings} from './settings/readSettings.js';

/** Exit codes, documented in docs/reference/exitCodes.md. */
const EXIT = {
  finished: 0,
  stopLimitReached: 1,
  settingsWrong: 2,
  cannotListen: 3,
  failed: 4,
} as const;

const {settings, isCheck} = await readSettings(process.argv.slice(2));
if (!settings.ok) {
  for (const {field, problem} of settings.failure) {
    process.stderr.write(`${field}: ${problem}\n`);
  }
  process.exit(EXIT.settingsWrong);
}
if (isCheck) {
  process.stdout.write('settings are valid\n');
  process.exit(EXIT.finished);
}
const container = composeNode(settings.value);
const logger = container.resolve(TOKENS.logger);
// A log without a reader ends nothing.
process.stderr.on('error', () => undefined);
process.on('uncaughtException', (error: unknown) => {
  const {stack = String(error)} = (error ?? {}) as Partial<Error>;
  logger.error('unexpected error', {detail: stack});
  process.exit(EXIT.failed);
});
/** Until the node runs, nothing is in progress that has to be finished. */
let stop = async (): Promise<void> => {
  logger.info('node stopped before it had started');
  process.exit(EXIT.finished);
};
process.on('SIGTERM', () => void stop());
process.on('SIGINT', () => void stop());
const node = await runNode(container).catch((error: unknown) => {
  const {message} = error as Error;
  logger.error('cannot listen on an address; it may already be in use', {
    detail: message,
  });
  process.exit(EXIT.cannotListen);
});
let isStopping = false;
stop = async () => {
  if (isStopping) {
    return;
  }
  isStopping = true;
  logger.info('node leaving');
  const result = await node.stop();
  logger.info('node stopped', {result});
  process.exit(result === 'finished' ? EXIT.finished : EXIT.stopLimitReached);
};
logger.info('node started', {...settings.value, bootstrapTokenHash: '***'});
const entry = container.resolve(TOKENS.entryService);
process.on('exit', () => entry.resetUnfinishedAnswers());
