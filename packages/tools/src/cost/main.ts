// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** npm run cost: processor time of cold and warm nodes, by build. */

import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {deployedFlags} from '../harness/deployedFlags.js';
import {NODE_BUNDLE} from '../soak/boxProcess.js';
import {CostFleet} from './costFleet.js';
import type {CostVariant} from './costFleet.js';
import {COST_STAGES} from './costStages.js';

const IDLE_MILLISECONDS = 5000;

/** Cost of one fleet, in milliseconds of processor time. */
interface Cost {
  /** Start of one node. */
  readonly start: number;
  /** Share of one processor that an idle node uses, as a fraction. */
  readonly idle: number;
  /** One call, in each stage. */
  readonly calls: readonly number[];
  /** Share of the calls that ended with the status of their stage. */
  readonly expected: readonly number[];
}

const options = await yargs(hideBin(process.argv))
  .scriptName('npm run cost --')
  .option('boxes', {type: 'number', default: 6, describe: 'nodes of a fleet'})
  .option('rounds', {
    type: 'number',
    default: 3,
    describe: 'fleets of a variant',
  })
  .option('variant', {
    type: 'string',
    array: true,
    default: [`this=${[...deployedFlags(), NODE_BUNDLE].join(' ')}`],
    describe: 'NAME=ARGUMENTS of the runtime, the bundle among them',
  })
  .strict()
  .parseAsync();

const variants = options.variant.map(parseVariant);
const costs = new Map<string, Cost[]>();
for (let round = 0; round < options.rounds; round += 1) {
  // Variants alternate, so that other load on the machine affects all alike.
  for (const variant of variants) {
    const cost = await measure(variant, options.boxes);
    costs.set(variant.name, [...(costs.get(variant.name) ?? []), cost]);
    process.stderr.write(`${variant.name}: ${JSON.stringify(cost)}\n`);
  }
}
process.stdout.write(formatTable());
process.exit(0);

function parseVariant(text: string): CostVariant {
  const equals = text.indexOf('=');
  return {
    name: text.slice(0, equals),
    command: text.slice(equals + 1).split(' '),
  };
}

async function measure(variant: CostVariant, boxes: number): Promise<Cost> {
  const folder = mkdtempSync(join(tmpdir(), 'lockpin-cost-'));
  const fleet = new CostFleet(variant, folder);
  await fleet.start(boxes);
  const start = fleet.milliseconds / boxes;
  const beforeIdle = fleet.milliseconds;
  await pause(IDLE_MILLISECONDS);
  const idle = (fleet.milliseconds - beforeIdle) / boxes / IDLE_MILLISECONDS;
  const calls: number[] = [];
  const expected: number[] = [];
  for (const stage of COST_STAGES) {
    await fleet.prepare(stage);
    const before = fleet.milliseconds;
    const startedAt = Date.now();
    const {made, asExpected} = await fleet.call(stage);
    expected.push(asExpected / made);
    const idleMilliseconds = idle * boxes * (Date.now() - startedAt);
    const used = fleet.milliseconds - before - idleMilliseconds;
    calls.push(used / made);
  }
  await fleet.end();
  rmSync(folder, {recursive: true});
  return {start, idle, calls, expected};
}

/** Formats the mean, minimum and maximum of all rounds. */
function formatTable(): string {
  const stages = COST_STAGES.map(({name}) => `${name}, ms each | as expected`);
  const head = `| variant | start ms | idle % | ${stages.join(' | ')} |`;
  const rows = [...costs].map(([name, rounds]) => {
    const cells = [
      formatRange(rounds.map(({start}) => start)),
      formatRange(rounds.map(({idle}) => idle * 100)),
      ...COST_STAGES.flatMap((_, i) => [
        formatRange(rounds.map(({calls}) => calls[i] ?? 0)),
        formatRange(rounds.map(({expected}) => expected[i] ?? 0)),
      ]),
    ];
    return `| ${name} | ${cells.join(' | ')} |`;
  });
  const line = `| ${head
    .split('|')
    .slice(1, -1)
    .map(() => '---')
    .join(' | ')} |`;
  return `${[head, line, ...rows].join('\n')}\n`;
}

function formatRange(values: readonly number[]): string {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const [minimum, maximum] = [Math.min(...values), Math.max(...values)];
  return `${mean.toFixed(2)} (${minimum.toFixed(2)} to ${maximum.toFixed(2)})`;
}
