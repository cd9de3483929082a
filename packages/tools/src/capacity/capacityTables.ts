// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Renders the measured tables of docs/CAPACITY.md. */

import {evaluateLine} from './fit.js';
import type {ConfigurationSlopes} from './configurationSlopes.js';
import type {DecisionCosts} from './decisionSlopes.js';
import {DAY_SECONDS, TARGET_SCALE, NODE_BUDGET} from './targetScale.js';
import type {ProcessPoint} from './processSlopes.js';

/** All capacity measurements. */
export interface CapacityFigures {
  readonly configuration: ConfigurationSlopes;
  readonly decisions: DecisionCosts;
  readonly processes: readonly ProcessPoint[];
}

const MEGABYTE = 1024 ** 2;
const SNAPSHOTS_PER_DAY = TARGET_SCALE.changesPerDay / 500;
const REPORTS_PER_SECOND = TARGET_SCALE.upstreams / TARGET_SCALE.nodes / 2;

/** Renders the tables as Markdown. */
export function capacityTables(figures: CapacityFigures): string {
  return [
    '### Configuration: points and slopes',
    '',
    configurationTable(figures.configuration),
    '',
    '### Single decisions',
    '',
    decisionTable(figures.decisions),
    '',
    '### Processes that run: points',
    '',
    processTable(figures.processes),
    '',
    '### Each role at the letter’s size',
    '',
    roleTable(figures),
    '',
    '### Appends to the log at the letter’s size',
    '',
    appendTable(figures),
  ].join('\n');
}

function configurationTable(slopes: ConfigurationSlopes): string {
  const rows = slopes.points.map((point) => [
    point.resources,
    megabytes(point.heapBytes),
    point.loadMilliseconds.toFixed(0),
    point.changeMicroseconds.toFixed(0),
    megabytes(point.snapshotBytes),
    point.encodeMilliseconds.toFixed(0),
    point.decodeMilliseconds.toFixed(0),
  ]);
  const heapBytesByKind = Object.entries(slopes.bytesEach)
    .map(([kind, bytes]) => `${kind} ${bytes.toFixed(0)} B`)
    .join(', ');
  return [
    formatTable(
      [
        'resources',
        'heap MB',
        'load ms',
        'one change µs',
        'snapshot MB',
        'encode ms',
        'decode ms',
      ],
      rows,
    ),
    '',
    `Fit: heap ${slopes.heap.slope.toFixed(0)} B a resource, load ${(slopes.load.slope * 1000).toFixed(1)} µs a resource, snapshot ${slopes.snapshot.slope.toFixed(1)} B a resource (base64). Heap of one ${heapBytesByKind}.`,
  ].join('\n');
}

function decisionTable(costs: DecisionCosts): string {
  return formatTable(
    ['decision', 'measured'],
    [
      ['a call at the entry', formatMicroseconds(costs.entryCallMicroseconds)],
      ['a call at the guard', formatMicroseconds(costs.guardCallMicroseconds)],
      [
        'a report at the permit holder (37 upstreams)',
        formatMicroseconds(costs.holderReportMicroseconds),
      ],
      ['a report, 7 kinds of call', `${costs.reportBytes} B`],
      ['its reply', `${costs.replyBytes} B`],
      [
        'a once key',
        `${formatMicroseconds(costs.onceKeyMicroseconds)}, ${costs.onceKeyBytes.toFixed(0)} B kept`,
      ],
      ['a member', `${costs.memberBytes.toFixed(0)} B`],
      [
        'a tick of the failure detector, 3,900 members',
        formatMicroseconds(costs.membershipTickMicroseconds),
      ],
      [
        'a datagram, 3,900 members',
        formatMicroseconds(costs.membershipDatagramMicroseconds),
      ],
    ],
  );
}

function processTable(points: readonly ProcessPoint[]): string {
  return formatTable(
    [
      'nodes',
      'started in s',
      'resident MB',
      'core %',
      'datagrams B/s',
      'exchanges B/s',
      'log B/s',
      'box list B/s',
      'spread ms, median',
      'spread ms, worst',
    ],
    points.map((point) => [
      point.nodes,
      point.startSeconds.toFixed(0),
      point.residentMegabytes.toFixed(0),
      point.corePercent.toFixed(2),
      point.datagramBytesPerSecond.toFixed(0),
      point.exchangeBytesPerSecond.toFixed(0),
      point.logBytesPerSecond.toFixed(0),
      point.boxListBytesPerSecond.toFixed(0),
      median(point.spreadMilliseconds),
      Math.max(...point.spreadMilliseconds),
    ]),
  );
}

function roleTable(figures: CapacityFigures): string {
  const {configuration, decisions, processes} = figures;
  const resources =
    TARGET_SCALE.customers +
    TARGET_SCALE.services +
    TARGET_SCALE.routes +
    TARGET_SCALE.upstreams;
  const changesPerSecond = TARGET_SCALE.changesPerDay / DAY_SECONDS;
  const restartsPerSecond = TARGET_SCALE.restartsPerDay / DAY_SECONDS;
  const heap = evaluateLine(configuration.heap, resources);
  const change = configuration.points.at(-1)?.changeMicroseconds ?? 0;
  const snapshotBytes = evaluateLine(configuration.snapshot, resources) * 0.75;
  const serveBytes = (restartsPerSecond * snapshotBytes) / TARGET_SCALE.nodes;
  const membership =
    10 * decisions.membershipTickMicroseconds +
    4 * decisions.membershipDatagramMicroseconds;
  const reports =
    REPORTS_PER_SECOND * 2 * (decisions.reportBytes + decisions.replyBytes);
  const idle = lastValue(processes, ({corePercent}) => corePercent);
  const datagrams = extrapolatedDatagramBytes(processes);
  const rows = [
    [
      'configuration reader',
      `${resources.toLocaleString('en')} resources`,
      `${changesPerSecond.toFixed(3)} changes/s`,
      `${((changesPerSecond * change) / 10_000).toFixed(4)}%`,
      `${megabytes(heap)} MB`,
      `${(changesPerSecond * 600 * 2).toFixed(0)} B/s`,
      'fold by the pure reducer; 3 log readers a data centre, others by peers',
    ],
    [
      'snapshots, kept and served',
      `${megabytes(snapshotBytes)} MB compressed`,
      `${((restartsPerSecond / TARGET_SCALE.nodes) * 86_400).toFixed(1)} served/day`,
      'below 0.01%',
      `${megabytes(snapshotBytes * 1.34)} MB`,
      `${(serveBytes * 2).toFixed(0)} B/s mean`,
      'whole snapshot kept as it came; chunks to peers, pre-encoded',
    ],
    [
      'membership',
      `${TARGET_SCALE.nodes} members`,
      '1 probe/s, 4 datagrams/s',
      `${(membership / 10_000).toFixed(3)}%`,
      `${megabytes(decisions.memberBytes * TARGET_SCALE.nodes)} MB`,
      `${datagrams.toFixed(0)} B/s`,
      'random probes, indirect probes, refutable suspicion, bounded gossip',
    ],
    [
      'permits: guard and holder',
      `${(TARGET_SCALE.upstreams / TARGET_SCALE.nodes).toFixed(1)} upstreams guarded`,
      `${(REPORTS_PER_SECOND * 2).toFixed(1)} reports/s in and out`,
      `${((REPORTS_PER_SECOND * decisions.holderReportMicroseconds) / 10_000).toFixed(3)}%`,
      '2 MB',
      `${reports.toFixed(0)} B/s`,
      'a report every 2 s, at once when suspicion turns; fence from the log',
    ],
    [
      'once keys',
      '50,000 keys a service at most',
      'none of their own',
      'below 0.01%',
      `${megabytes(decisions.onceKeyBytes * 50_000)} MB a full service`,
      '0 B/s',
      'key bound to one process; no log, no peer, no clock',
    ],
    [
      'all of it, in a quiet process as measured',
      '',
      '',
      `${idle.toFixed(2)}%`,
      `${lastValue(processes, (point) => point.residentMegabytes).toFixed(0)} MB + ${megabytes(heap + snapshotBytes * 1.34)} MB`,
      `${(datagrams + reports + serveBytes * 2 + changesPerSecond * 1200).toFixed(0)} B/s`,
      '',
    ],
    [
      'budget',
      '',
      '',
      `${NODE_BUDGET.corePercent}%`,
      `${NODE_BUDGET.megabytes} MB`,
      `${NODE_BUDGET.bytesPerSecond} B/s`,
      '',
    ],
  ];
  return formatTable(
    [
      'role',
      'state',
      'messages',
      'core',
      'memory',
      'control bytes',
      'mechanism',
    ],
    rows,
  );
}

/**
 * Extrapolates datagram traffic: the base rate hardly depends on the size of
 * the fleet; membership updates about restarts are added.
 */
function extrapolatedDatagramBytes(processes: readonly ProcessPoint[]): number {
  const perNode = lastValue(processes, (point) => point.datagramBytesPerSecond);
  const restartsPerSecond = TARGET_SCALE.restartsPerDay / DAY_SECONDS;
  const updateBytes = 260;
  const transmissions = 16;
  return perNode + restartsPerSecond * 2 * updateBytes * transmissions * 2;
}

function appendTable({configuration}: CapacityFigures): string {
  const resources = 234_200;
  const chunks = Math.ceil(
    (evaluateLine(configuration.snapshot, resources) * 0.75) / (48 * 1024),
  );
  const rows = [
    [
      'configuration changes',
      (TARGET_SCALE.changesPerDay / DAY_SECONDS).toFixed(3),
    ],
    [
      'holder claims (18,000 restarts, 0.31 services held by a node)',
      (
        ((TARGET_SCALE.restartsPerDay / DAY_SECONDS) * TARGET_SCALE.services) /
        TARGET_SCALE.nodes
      ).toFixed(3),
    ],
    [
      `snapshot chunks (${SNAPSHOTS_PER_DAY} a day of ${chunks})`,
      ((SNAPSHOTS_PER_DAY * chunks) / DAY_SECONDS).toFixed(3),
    ],
    ['once-only calls', '0'],
  ];
  return formatTable(['appends', 'a second'], rows);
}

function lastValue(
  processes: readonly ProcessPoint[],
  value: (point: ProcessPoint) => number,
): number {
  const last = processes.at(-1);
  return last === undefined ? 0 : value(last);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function megabytes(bytes: number): string {
  return (bytes / MEGABYTE).toFixed(1);
}

function formatMicroseconds(value: number): string {
  return `${value.toFixed(1)} µs`;
}

function formatTable(
  head: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const line = (cells: readonly (string | number)[]): string =>
    `| ${cells.join(' | ')} |`;
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join(
    '\n',
  );
}
