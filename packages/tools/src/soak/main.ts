// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** `npm run soak`: real nodes under faults, checked by what callers and upstreams see. */

import {readdirSync, rmSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {FaultSet, SoakSize} from './faultPlan.js';
import {runSoak} from './runSoak.js';
import type {SoakResult} from './runSoak.js';

const ROOT = fileURLToPath(new URL('../../../..', import.meta.url));

/** Seeds that failed once, each with a line on the cause. */
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
  .option('boxes', {type: 'number', default: 8, describe: 'Nodes of a fleet'})
  .option('jobs', {
    type: 'number',
    default: 1,
    describe: 'Soaks that run at the same time',
  })
  .strict()
  .parse();

/** A seed, and which of the faults it draws are played. */
type SoakSeed = Pick<SoakSize, 'faults'> & {readonly seed: number};

/** What stands behind the number of a kept seed, for the faults that it was kept with. */
const FAULT_SETS: Readonly<Record<string, FaultSet>> = {
  '': 'first',
  '-all': 'second',
  '-restores': 'all',
};

function keptSeeds(): readonly SoakSeed[] {
  return readdirSync(REGRESSIONS).flatMap((name): readonly SoakSeed[] => {
    const match = /^(\d+)(-[a-z]+)?\.txt$/.exec(name);
    const faults = FAULT_SETS[match?.[2] ?? ''];
    return match === null || faults === undefined
      ? []
      : [{seed: Number(match[1]), faults}];
  });
}

function freshSeeds(count: number): readonly SoakSeed[] {
  return Array.from({length: count}, () => ({
    seed: Math.floor(Math.random() * LARGEST_SEED),
    faults: 'all',
  }));
}

function show({seed, calls, served, faults, violations}: SoakResult): void {
  const verdict = violations.length === 0 ? 'kept' : 'BROKEN';
  console.log(
    `seed ${seed}: ${faults} faults, ${served} of ${calls} calls served, ${verdict}`,
  );
  violations.forEach(({promise, subject, detail}) =>
    console.log(`  ${promise}: ${subject}: ${detail}`),
  );
}

const given = (options.seed ?? []).map((seed): SoakSeed => ({
  seed,
  faults: 'all',
}));
const kept = options.regressions ? keptSeeds() : [];
const chosen = [...given, ...kept];
const waiting =
  chosen.length > 0 ? [...chosen] : [...freshSeeds(options.seeds)];
const size = {
  boxes: options.boxes,
  faultMilliseconds: options.seconds * 1000,
};
const failed: number[] = [];

async function work(): Promise<void> {
  for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
    const {seed, faults} = next;
    const folder = join(ROOT, 'artifacts', 'soak', String(seed));
    const result = await runSoak(seed, {...size, faults}, folder);
    show(result);
    if (result.violations.length > 0) {
      failed.push(seed);
    } else {
      rmSync(folder, {recursive: true});
    }
  }
}

await Promise.all(Array.from({length: options.jobs}, work));
if (failed.length > 0) {
  console.log(`failed: ${failed.join(' ')}; logs under artifacts/soak`);
  console.log(
    `replay: npm run soak -- --seed ${failed[0]}; keep it under ${REGRESSIONS}`,
  );
}
process.exitCode = failed.length > 0 ? 1 : 0;
