// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Memory and time of the configuration as a function of its size. */

import {
  decodeSnapshot,
  encodeSnapshot,
  foldChange,
} from '@lockpin/configuration';
import type {ConfigurationState} from '@lockpin/configuration';
import type {Line, Point} from './fit.js';
import {fitLine} from './fit.js';
import {
  createChanges,
  foldChanges,
  scaledTargetSize,
  createUpstreamWrite,
} from './largeConfiguration.js';
import type {ConfigurationSize} from './largeConfiguration.js';
import {measureRetainedHeap, microsecondsPerRun} from './measureTime.js';

/** Measurements at one size. */
export interface ConfigurationPoint {
  readonly resources: number;
  readonly heapBytes: number;
  readonly loadMilliseconds: number;
  readonly changeMicroseconds: number;
  readonly snapshotBytes: number;
  readonly encodeMilliseconds: number;
  readonly decodeMilliseconds: number;
}

/** Measured points and fitted lines of the configuration. */
export interface ConfigurationSlopes {
  readonly points: readonly ConfigurationPoint[];
  readonly heap: Line;
  readonly load: Line;
  readonly snapshot: Line;
  /** Heap bytes of one resource of each kind. */
  readonly bytesEach: Readonly<Record<string, number>>;
}

const SHARES = [0.1, 0.25, 0.5, 1];
const TIMED_CHANGES = 200;

/** Measures at several shares of the target scale. */
export function measureConfiguration(): ConfigurationSlopes {
  const points = SHARES.map((share) => measureAt(scaledTargetSize(share)));
  const line = (value: (point: ConfigurationPoint) => number): Line =>
    fitLine(points.map((p): Point => ({x: p.resources, y: value(p)})));
  return {
    points,
    heap: line(({heapBytes}) => heapBytes),
    load: line(({loadMilliseconds}) => loadMilliseconds),
    snapshot: line(({snapshotBytes}) => snapshotBytes),
    bytesEach: measureBytesByKind(),
  };
}

function measureAt(size: ConfigurationSize): ConfigurationPoint {
  const changes = createChanges(size);
  const startedAt = performance.now();
  foldChanges(changes);
  const loadMilliseconds = performance.now() - startedAt;
  const {bytes, made: state} = measureRetainedHeap(() =>
    foldChanges(structuredClone(changes)),
  );
  const resources = state.size;
  const encodeStart = performance.now();
  const chunks = encodeSnapshot(state, 'capacity', 0);
  const encodeMilliseconds = performance.now() - encodeStart;
  const decodeStart = performance.now();
  decodeSnapshot(chunks);
  const decodeMilliseconds = performance.now() - decodeStart;
  return {
    resources,
    heapBytes: bytes,
    loadMilliseconds,
    changeMicroseconds: measureChange(state, size),
    snapshotBytes: chunks.reduce((sum, {data}) => sum + data.length, 0),
    encodeMilliseconds,
    decodeMilliseconds,
  };
}

/** Times a change of a single upstream, the most frequent kind of change. */
function measureChange(
  state: ConfigurationState,
  size: ConfigurationSize,
): number {
  let offset = state.version;
  return microsecondsPerRun(TIMED_CHANGES, (i) => {
    const write = createUpstreamWrite(
      i % size.upstreams,
      size.services,
      1 + (i % 9),
    );
    const basedOn = state.get('Upstream', write.name)?.version ?? 0;
    const value = {
      kind: 'change',
      changeId: `timed-${offset}`,
      author: 'capacity',
      writes: [{...write, basedOn}],
    };
    foldChange(state, {offset, value});
    offset += 1;
  });
}

function measureBytesByKind(): Readonly<Record<string, number>> {
  const base: ConfigurationSize = {
    customers: 1200,
    services: 1200,
    upstreams: 0,
    routes: 0,
  };
  const added = 20_000;
  const empty = measureHeap(base);
  return {
    customer:
      (measureHeap({...base, customers: base.customers + added}) - empty) /
      added,
    upstream: (measureHeap({...base, upstreams: added}) - empty) / added,
    route: (measureHeap({...base, routes: added}) - empty) / added,
  };
}

function measureHeap(size: ConfigurationSize): number {
  const changes = createChanges(size);
  return measureRetainedHeap(() => foldChanges(structuredClone(changes))).bytes;
}
