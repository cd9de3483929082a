// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** npm run overload: goodput, amplification and effect of one flooder. */

import {SERVICES, TRAFFIC} from './scenarios.js';
import type {MeasuredService} from './scenarios.js';
import {runService} from './serviceRun.js';
import type {RunResult} from './serviceRunOptions.js';

const SECONDS = 30;
const SEEDS = [1, 2, 3, 4, 5];

/** Mean of the log-normal call duration, in milliseconds. */
const MEAN_MILLISECONDS =
  TRAFFIC.medianMilliseconds * Math.exp(TRAFFIC.logDeviation ** 2 / 2);

/** Share of capacity that the observed customer uses. */
const QUIET_SHARE = 0.05;

const lines: string[] = [
  '| service | offered load | goodput of capacity | runs a call | refused or failed |',
  '| --- | --- | --- | --- | --- |',
];
for (const service of SERVICES) {
  for (const factor of [0.5, 1, 2, 5]) {
    const results = SEEDS.map((seed) => runAtLoad(service, factor, seed));
    lines.push(loadLine(service, factor, results));
  }
}
lines.push(
  '',
  '| service | every upstream fails: runs a call |',
  '| --- | --- |',
);
for (const service of SERVICES) {
  const runs = SEEDS.map(
    (seed) =>
      runService({service, fault: {kind: 'outage'}, seed, seconds: SECONDS})
        .amplification,
  );
  lines.push(`| ${service.name} | ${Math.max(...runs).toFixed(3)} |`);
}
lines.push(
  '',
  '| service | quiet customer alone p99 ms | beside a flood of 5 times capacity p99 ms | answered of its calls |',
  '| --- | --- | --- | --- |',
);
for (const service of SERVICES) {
  lines.push(floodLine(service));
}
process.stdout.write(`${lines.join('\n')}\n`);

function capacityOf({slots}: MeasuredService): number {
  return (slots / MEAN_MILLISECONDS) * 1000;
}

function runAtLoad(
  service: MeasuredService,
  factor: number,
  seed: number,
): RunResult {
  const callsPerUpstream = capacityOf(service) * factor;
  return runService({
    service: {...service, callsPerUpstream},
    fault: {kind: 'none'},
    seed,
    seconds: SECONDS,
  });
}

function loadLine(
  service: MeasuredService,
  factor: number,
  results: readonly RunResult[],
): string {
  const capacity = capacityOf(service) * service.upstreams * SECONDS;
  const goodput = mean(
    results.map((result) => answeredCount(result) / capacity),
  );
  const runs = mean(results.map(({amplification}) => amplification));
  const failed = mean(
    results.map(({refusedOrFailed, calls}) => refusedOrFailed / calls),
  );
  return `| ${service.name} | ${factor} | ${goodput.toFixed(3)} | ${runs.toFixed(3)} | ${(failed * 100).toFixed(1)}% |`;
}

function floodLine(service: MeasuredService): string {
  const capacity = capacityOf(service);
  const alone = SEEDS.flatMap((seed) =>
    quietCustomerTimes(
      runWithCustomers(service, capacity * QUIET_SHARE, seed, [
        {name: 'customer', share: 1},
      ]),
    ),
  );
  const factor = 5;
  const share = QUIET_SHARE / (factor + QUIET_SHARE);
  const customers = [
    {name: 'customer', share},
    {name: 'flood', share: 1 - share},
  ];
  const load = capacity * (factor + QUIET_SHARE);
  const flooded = SEEDS.map((seed) =>
    runWithCustomers(service, load, seed, customers),
  );
  const times = flooded.flatMap(quietCustomerTimes);
  const offeredCalls = flooded.reduce((sum, {calls}) => sum + calls * share, 0);
  return `| ${service.name} | ${quantile(alone, 0.99).toFixed(1)} | ${quantile(times, 0.99).toFixed(1)} | ${((times.length / offeredCalls) * 100).toFixed(1)}% |`;
}

function runWithCustomers(
  service: MeasuredService,
  callsPerUpstream: number,
  seed: number,
  customers: readonly {readonly name: string; readonly share: number}[],
): RunResult {
  return runService({
    service: {...service, callsPerUpstream},
    fault: {kind: 'none'},
    seed,
    seconds: SECONDS,
    customers,
  });
}

function quietCustomerTimes({
  successDurations: durations,
}: RunResult): readonly number[] {
  return durations.get('customer') ?? [];
}

function answeredCount({successDurations: durations}: RunResult): number {
  return [...durations.values()].reduce((sum, times) => sum + times.length, 0);
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function quantile(values: readonly number[], q: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * q)] ?? 0;
}
