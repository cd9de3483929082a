// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** npm run measure: detection time and false ejections, with two baselines. */

import {mkdir, readFile, writeFile} from 'node:fs/promises';
import {availableParallelism} from 'node:os';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import type {FalseAlarmResult} from './falseAlarms.js';
import {plotDetection} from './plot.js';
import {runTasks} from './runTasks.js';
import {SCENARIOS, SERVICES} from './scenarios.js';
import {summarise} from './summary.js';
import type {SummaryRow} from './summary.js';
import {DETECTORS} from './measureTask.js';
import type {MeasureOutcome, MeasureTask} from './measureTask.js';

const ROOT = new URL('../../../../', import.meta.url);
const BEGIN = '<!-- measured: begin -->';
const END = '<!-- measured: end -->';
const SEEDS_PER_TASK = 10;

const options = await yargs(hideBin(process.argv))
  .option('seeds', {type: 'number', default: 200})
  .option('seconds', {type: 'number', default: 25})
  .option('days', {
    type: 'number',
    default: 40,
    describe: 'Upstream-days of healthy calls for each service',
  })
  .option('processes', {type: 'number', default: availableParallelism()})
  .option('write', {
    type: 'boolean',
    default: true,
    describe: 'Rewrite the table in docs/MEASUREMENTS.md',
  })
  .strict()
  .parse();

const outcomes: MeasureOutcome[] = [];
const tasks = createTasks();
await runTasks(tasks, options.processes, (outcome, done) => {
  outcomes.push(outcome);
  if (done % 50 === 0 || done === tasks.length) {
    process.stderr.write(`${done} of ${tasks.length} tasks\n`);
  }
});
const rows = summariseOutcomes();
const alarms = countFalseAlarmsByService();
const tables = `${detectionTable(rows)}\n\n${alarmTable(alarms)}`;
await mkdir(new URL('artifacts/', ROOT), {recursive: true});
await writeFile(
  new URL('artifacts/measure.json', ROOT),
  JSON.stringify({options, rows, alarms}, null, 2),
);
if (options.write) {
  await rewritePage(tables);
  await writeFile(new URL('docs/detection.svg', ROOT), plotDetection(rows));
}
process.stdout.write(`${tables}\n`);

function createTasks(): readonly MeasureTask[] {
  const all: MeasureTask[] = [];
  SERVICES.forEach((_, service) => {
    for (let seed = 0; seed < options.days; seed += 1) {
      all.push({kind: 'false-alarms', service, days: 1, seed});
    }
    SCENARIOS.forEach((_scenario, scenario) => {
      for (const detector of DETECTORS) {
        for (let from = 0; from < options.seeds; from += SEEDS_PER_TASK) {
          const count = Math.min(SEEDS_PER_TASK, options.seeds - from);
          const seeds = Array.from({length: count}, (_seed, i) => from + i + 1);
          const {seconds} = options;
          all.push({kind: 'run', service, scenario, detector, seeds, seconds});
        }
      }
    });
  });
  return all;
}

function summariseOutcomes(): readonly SummaryRow[] {
  return SERVICES.flatMap((service, serviceIndex) =>
    SCENARIOS.flatMap((scenario, scenarioIndex) =>
      DETECTORS.map((detector) => {
        const results = outcomes.flatMap((outcome) =>
          outcome.kind === 'run' &&
          outcome.task.service === serviceIndex &&
          outcome.task.scenario === scenarioIndex &&
          outcome.task.detector === detector
            ? outcome.results
            : [],
        );
        return summarise(
          {service: service.name, scenario: scenario.name, detector},
          service.upstreams,
          options.seconds,
          results,
        );
      }),
    ),
  );
}

interface AlarmRow extends FalseAlarmResult {
  readonly service: string;
}

function countFalseAlarmsByService(): readonly AlarmRow[] {
  return SERVICES.map((service, serviceIndex) => {
    const results = outcomes.flatMap((outcome) =>
      outcome.kind === 'false-alarms' && outcome.task.service === serviceIndex
        ? [outcome.result]
        : [],
    );
    const sum = (value: (result: FalseAlarmResult) => number): number =>
      results.reduce((total, result) => total + value(result), 0);
    return {
      service: service.name,
      days: sum(({days}) => days),
      calls: sum(({calls}) => calls),
      lockpin: sum(({lockpin}) => lockpin),
      fiveInARow: sum(({fiveInARow}) => fiveInARow),
    };
  });
}

function detectionTable(all: readonly SummaryRow[]): string {
  const head =
    '| service | scenario | detector | detected | p50 s | p99 s | false ejections | floor broken | amplification | calls failed |\n' +
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |';
  const lines = all.map((row) =>
    [
      '',
      row.service,
      row.scenario,
      row.detector,
      `${row.detected} of ${row.seeds}`,
      row.detectionP50?.toFixed(2) ?? '–',
      row.detectionP99?.toFixed(2) ?? '–',
      row.falseEjections,
      row.detector === 'lockpin' ? row.floorBroken : '–',
      row.amplification.toFixed(3),
      `${(row.failedShare * 100).toFixed(2)}%`,
      '',
    ]
      .join(' | ')
      .trim(),
  );
  return [head, ...lines].join('\n');
}

function alarmTable(all: readonly AlarmRow[]): string {
  const head =
    '| service | upstream-days of healthy calls | calls | lockpin condemned | five in a row ejected |\n' +
    '| --- | --- | --- | --- | --- |';
  const lines = all.map(
    ({service, days, calls, lockpin, fiveInARow}) =>
      `| ${service} | ${days} | ${calls.toLocaleString('en')} | ${lockpin} | ${fiveInARow} |`,
  );
  return [head, ...lines].join('\n');
}

async function rewritePage(content: string): Promise<void> {
  const file = new URL('docs/MEASUREMENTS.md', ROOT);
  const page = await readFile(file, 'utf8').catch(() => `${BEGIN}\n${END}\n`);
  const [head = ''] = page.split(BEGIN);
  const tail = page.split(END)[1] ?? '';
  await writeFile(file, `${head}${BEGIN}\n\n${content}\n\n${END}${tail}`);
}
