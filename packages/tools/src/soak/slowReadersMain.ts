// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** `npm run slow-readers`: measures slow readers beside ordinary calls. */

import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {measureSlowReaders} from './slowReaders.js';

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run slow-readers --')
  .option('readers', {type: 'number', default: 200})
  .option('bytes', {
    type: 'number',
    default: 540_000,
    describe: 'Size of an answer; a loopback connection holds about 4 MB',
  })
  .option('bytes-per-second', {type: 'number', default: 2000})
  .option('milliseconds', {
    type: 'number',
    default: 20_000,
    describe: 'Duration of the ordinary calls without and beside the readers',
  })
  .option('calls-per-second', {type: 'number', default: 20})
  .option('memory', {type: 'number', default: 250, describe: 'Limit in MB'})
  .option('switched-off', {
    type: 'string',
    default: '',
    describe: 'Mechanisms that the node does without',
  })
  .strict()
  .parse();

const folder = mkdtempSync(join(tmpdir(), 'lockpin-readers-'));
const result = await measureSlowReaders(
  {...options, memoryMegabytes: options.memory},
  folder,
);
console.log(JSON.stringify(result, undefined, 2));
rmSync(folder, {recursive: true});
process.exit(0);
