// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** npm run capacity: measures slopes and rewrites the tables of docs/CAPACITY.md. */

import {mkdir, readFile, writeFile} from 'node:fs/promises';
import {encode} from '@lockpin/node';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {capacityTables} from './capacityTables.js';
import type {CapacityFigures} from './capacityTables.js';
import {measureConfiguration} from './configurationSlopes.js';
import {measureDecisions} from './decisionSlopes.js';
import {measureProcesses} from './processSlopes.js';
import type {ProcessPoint} from './processSlopes.js';

const PAGE = new URL('../../../../docs/CAPACITY.md', import.meta.url);
const ARTIFACTS = new URL('../../../../artifacts/', import.meta.url);
const BEGIN = '<!-- measured: begin -->';
const END = '<!-- measured: end -->';

const options = await yargs(hideBin(process.argv))
  .option('nodes', {
    type: 'number',
    array: true,
    default: [10, 50, 150],
    describe: 'Numbers of node processes to measure',
  })
  .option('quiet-seconds', {type: 'number', default: 20})
  .strict()
  .parse();

process.stderr.write('measuring the configuration\n');
const configuration = measureConfiguration();
process.stderr.write('measuring decisions\n');
const decisions = measureDecisions((value) => encode(value).length);
const processes: ProcessPoint[] = [];
for (const count of options.nodes) {
  process.stderr.write(`measuring ${count} node processes\n`);
  const point = await measureProcesses(count, {
    quietSeconds: options['quiet-seconds'],
    changes: 10,
    boxesPerService: 38,
  });
  process.stderr.write(`${JSON.stringify(point)}\n`);
  processes.push(point);
}
const figures: CapacityFigures = {configuration, decisions, processes};
await mkdir(ARTIFACTS, {recursive: true});
await writeFile(
  new URL('capacity.json', ARTIFACTS),
  JSON.stringify(figures, null, 2),
);
const page = await readFile(PAGE, 'utf8').catch(() => `${BEGIN}\n${END}\n`);
const [head = ''] = page.split(BEGIN);
const tail = page.split(END)[1] ?? '';
const tables = capacityTables(figures);
await writeFile(PAGE, `${head}${BEGIN}\n\n${tables}\n${END}${tail}`);
process.stdout.write(`${tables}\n`);
