// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** npm run demo: a session on real processes, checked against executions. */

import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {DEPLOYMENTS} from '../harness/deployments.js';
import type {DeploymentName} from '../harness/deployments.js';
import {runSession} from './session.js';
import type {SessionResult} from './session.js';

const MUST_BE_ZERO = [
  'lost',
  'doubled',
  'crossed',
  'notRunButRan',
  'cutByPlannedStop',
] as const satisfies readonly (keyof SessionResult)[];

const options = await yargs(hideBin(process.argv))
  .option('deployment', {
    choices: Object.keys(DEPLOYMENTS) as DeploymentName[],
    default: 'muscat' as DeploymentName,
  })
  .option('seconds', {type: 'number', default: 20})
  .option('calls-per-second', {type: 'number', default: 200})
  .option('callers', {type: 'number', default: 6})
  .option('hold', {
    type: 'boolean',
    default: false,
    describe: 'Only start the fleet and keep it running for inspection',
  })
  .option('seed', {type: 'number', default: 1})
  .strict()
  .parse();

const startedAt = Date.now();
const result = await runSession({
  deployment: DEPLOYMENTS[options.deployment],
  seed: options.seed,
  seconds: options.seconds,
  callsPerSecond: options['calls-per-second'],
  callers: options.callers,
  hold: options.hold,
  progress: (line) => {
    const seconds = ((Date.now() - startedAt) / 1000).toFixed(1);
    process.stdout.write(`${seconds.padStart(6)} s  ${line}\n`);
  },
});
process.stdout.write('\n');
for (const [name, value] of Object.entries(result)) {
  const shown = Number.isInteger(value) ? value : value.toFixed(3);
  process.stdout.write(`${name.padEnd(28)} ${shown}\n`);
}
const violated = MUST_BE_ZERO.filter((name) => result[name] !== 0);
process.stdout.write(
  violated.length === 0
    ? '\nall guarantees held\n'
    : `\nviolated guarantees: ${violated.join(', ')}\n`,
);
process.stdout.write(`${JSON.stringify(result)}\n`);
process.exit(violated.length === 0 ? 0 : 1);
