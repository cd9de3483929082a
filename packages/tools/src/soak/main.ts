// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** `npm run soak`: runs real nodes under faults and checks their guarantees. */

import {readdirSync, rmSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {FaultSet, SoakSize} from './faultPlan.js';
import type {SoakResult} from './runSoak.js';
import {runSoakProcess} from './runSoakProcess.js';

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));

/** Seeds of earlier failures, one file each, with a line on the cause. */
const REGRESSIONS = join(ROOT, 'soak', 'regressions');

const LARGEST_SEED = 2 ** 31;

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run soak --')
  .option('seed', {
    type: 'number',
    array: true,
    describe: 'Seeds to run; fresh ones when none is given',
  })
  .option('seeds', {
    type: 'number',
    default: 1,
    describe: 'How many fresh seeds to run',
  })
  .option('regressions', {
    type: 'boolean',
    default: false,
    describe: 'Run the seeds kept under soak/regressions',
  })
  .option('seconds', {
    type: 'number',
    default: 15,
    describe: 'Time in which faults begin',
  })
  .option('faults', {
    choices: [
      'first',
      'second',
      'all',
      'stated',
      'isolated',
      'replaced',
      'loaded',
      'broken',
      'starting',
      'endless',
      'crowded',
      'restarted',
    ] as const,
    default: 'stated' as const,
    describe: 'Fault set of the given or fresh seeds',
  })
  .option('boxes', {type: 'number', default: 8, describe: 'Nodes of a fleet'})
  .option('jobs', {
    type: 'number',
    default: 1,
    describe: 'Soaks that run at the same time',
  })
  .strict()
  .parse();

/** A seed and the fault set that it is run with. */
type SoakSeed = Pick<SoakSize, 'faults'> & {readonly seed: number};

/** Fault sets by the suffix in the file name of a regression seed. */
const FAULT_SETS: Readonly<Record<string, FaultSet>> = {
  '': 'first',
  '-all': 'second',
  '-restores': 'all',
  '-stated': 'stated',
  '-isolated': 'isolated',
  '-replaced': 'replaced',
  '-loaded': 'loaded',
  '-broken': 'broken',
  '-starting': 'starting',
  '-endless': 'endless',
  '-crowded': 'crowded',
  '-restarted': 'restarted',
};

function readRegressionSeeds(): readonly SoakSeed[] {
  return readdirSync(REGRESSIONS).flatMap((name): readonly SoakSeed[] => {
    const match = /^(\d+)(-[a-z]+)?\.txt$/.exec(name);
    const faults = FAULT_SETS[match?.[2] ?? ''];
    return match === null || faults === undefined
      ? []
      : [{seed: Number(match[1]), faults}];
  });
}

function randomSeeds(count: number): readonly SoakSeed[] {
  return Array.from({length: count}, () => ({
    seed: Math.floor(Math.random() * LARGEST_SEED),
    faults: options.faults,
  }));
}

function printResult({
  seed,
  calls,
  served,
  faults,
  violations,
}: SoakResult): void {
  const verdict = violations.length === 0 ? 'passed' : 'FAILED';
  console.log(
    `seed ${seed}: ${faults} faults, ${served} of ${calls} calls served, ${verdict}`,
  );
  violations.forEach(({guarantee, subject, detail}) =>
    console.log(`  ${guarantee}: ${subject}: ${detail}`),
  );
}

const requestedSeeds = (options.seed ?? []).map((seed): SoakSeed => ({
  seed,
  faults: options.faults,
}));
const regressionSeeds = options.regressions ? readRegressionSeeds() : [];
const selectedSeeds = [...requestedSeeds, ...regressionSeeds];
const queue =
  selectedSeeds.length > 0
    ? [...selectedSeeds]
    : [...randomSeeds(options.seeds)];
const size = {
  boxes: options.boxes,
  faultMilliseconds: options.seconds * 1000,
};
const failedSeeds: number[] = [];

/** Runs a soak and prints its result; returns whether it passed. */
async function runSeed({seed, faults}: SoakSeed): Promise<boolean> {
  const folder = join(ROOT, 'artifacts', 'soak', String(seed));
  const order = {seed, size: {...size, faults}, folder};
  try {
    const result = await runSoakProcess(order);
    printResult(result);
    if (result.violations.length > 0) {
      return false;
    }
  } catch (error) {
    // The other seeds still run.
    console.log(`${String(error)}, FAILED`);
    return false;
  }
  rmSync(folder, {recursive: true});
  return true;
}

async function runWorker(): Promise<void> {
  for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
    if (!(await runSeed(next))) {
      failedSeeds.push(next.seed);
    }
  }
}

await Promise.all(Array.from({length: options.jobs}, runWorker));
if (failedSeeds.length > 0) {
  console.log(`failed: ${failedSeeds.join(' ')}; logs under artifacts/soak`);
  console.log(
    `replay: npm run soak -- --seed ${failedSeeds[0]}; save it under ${REGRESSIONS}`,
  );
}
process.exitCode = failedSeeds.length > 0 ? 1 : 0;
