// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Runs one soak: a fleet and callers under faults, then the checks. */

import {mkdirSync} from 'node:fs';
import {setTimeout as pause} from 'node:timers/promises';
import {answerBody} from '@lockpin/platform-stand-ins';
import {seededRandom} from '@lockpin/utils';
import {freeAddresses} from '../harness/ports.js';
import {waitUntil} from '../harness/waitUntil.js';
import {applyFault} from './applyFault.js';
import {checkHistory} from './checkHistory.js';
import {checkBusyLoops} from './checkBusyLoops.js';
import {CROWDED_DESCRIPTORS} from './faultDraws.js';
import {planFaults} from './faultPlan.js';
import type {SoakSize} from './faultPlan.js';
import {SoakBox} from './soakBox.js';
import {runCaller} from './soakCaller.js';
import {FLOODING_CUSTOMER} from './soakConfiguration.js';
import {isServed} from './soakHistory.js';
import type {SoakBounds, Violation} from './soakHistory.js';
import {SoakRecorder} from './soakRecorder.js';
import {SoakStore} from './soakStore.js';
import {StallRecorder, readNodeStalls} from './stallRecorder.js';
import {probeVersions} from './probeVersions.js';

/** The limits that the checks allow, in line with the nodes' settings. */
export const SOAK_BOUNDS: SoakBounds = {
  drainMilliseconds: 1000,
  applyMilliseconds: 2000,
  rollbackMilliseconds: 250,
  settleMilliseconds: 3000,
  stopRaceMilliseconds: 200,
  lateMilliseconds: 500,
  retryRatio: 0.2,
  retryWindowMilliseconds: 10_000,
  retryExtra: 56,
};

const CALLERS_PER_BOX = 3;

/** Time for the fleet to recover after the last fault. */
const RECOVERY_MILLISECONDS = 9000;

/** Duration of the final phase, in which the fleet must be healthy. */
const STEADY_STATE_MILLISECONDS = 2500;

/** Result of one soak. */
export interface SoakResult {
  readonly seed: number;
  readonly calls: number;
  readonly served: number;
  readonly faults: number;
  readonly violations: readonly Violation[];
}

/** Runs one seed; writes the settings and logs of its nodes to the folder. */
export async function runSoak(
  seed: number,
  size: SoakSize,
  folder: string,
): Promise<SoakResult> {
  mkdirSync(folder, {recursive: true});
  const recorder = new SoakRecorder();
  const stallRecorder = new StallRecorder();
  const store = new SoakStore(
    (version) => recorder.versions.push(version),
    size.faults === 'loaded' ? [FLOODING_CUSTOMER] : [],
  );
  let requestNumber = 0;
  const nextId = (): string => `q${seed}-${(requestNumber += 1)}`;
  const storeAddress = await store.start();
  const boxes = await startBoxes(seed, size, folder, storeAddress, recorder);
  let isOver = false;
  const callers = startCallers(
    seed,
    boxes,
    store,
    recorder,
    nextId,
    () => isOver,
  );
  await waitUntil(() => isEveryBoxServed(recorder, boxes));
  const faults = planFaults(seed, size);
  await applyOnSchedule(faults, (fault) =>
    applyFault({boxes, store, recorder, nextId}, fault),
  );
  await pause(RECOVERY_MILLISECONDS);
  const steadyStateFrom = Date.now();
  await pause(STEADY_STATE_MILLISECONDS);
  isOver = true;
  await Promise.all(callers);
  stallRecorder.stop();
  const history = recorder.history(boxes, steadyStateFrom);
  await Promise.all(boxes.map((box) => box.end()));
  store.stop();
  const stalls = [
    ...stallRecorder.stalls,
    ...boxes.flatMap(({name, logFile}) => readNodeStalls(name, logFile)),
  ];
  return {
    seed,
    calls: history.calls.length,
    served: history.calls.filter(({end}) => isServed(end)).length,
    faults: faults.length,
    violations: [
      ...checkHistory({...history, stalls}, SOAK_BOUNDS, answerBody),
      ...boxes.flatMap(({name, logFile}) => checkBusyLoops(name, logFile)),
    ],
  };
}

async function startBoxes(
  seed: number,
  {boxes: count, faults}: SoakSize,
  folder: string,
  storeAddress: string,
  recorder: SoakRecorder,
): Promise<readonly SoakBox[]> {
  const boxes: SoakBox[] = [];
  for (let index = 0; index < count; index += 1) {
    const [caller = '', peer = '', readiness = '', announcements = ''] =
      await freeAddresses(4);
    const hasMetrics = faults === 'starting' || faults === 'crowded';
    const [metrics = ''] = hasMetrics ? await freeAddresses(1) : [];
    boxes.push(
      new SoakBox({
        index,
        addresses: {caller, peer, readiness, announcements, metrics},
        storeAddress,
        folder,
        random: seededRandom(seed * 1000 + index),
        bounds: SOAK_BOUNDS,
        descriptors: faults === 'crowded' ? CROWDED_DESCRIPTORS : undefined,
        onDrained: (drain) => recorder.drains.push(drain),
        onUnexpectedExit: (exit) => recorder.unexpectedExits.push(exit),
      }),
    );
  }
  await Promise.all(boxes.map((box) => box.start()));
  return boxes;
}

function startCallers(
  seed: number,
  boxes: readonly SoakBox[],
  store: SoakStore,
  recorder: SoakRecorder,
  nextId: () => string,
  isOver: () => boolean,
): readonly Promise<void>[] {
  return boxes.flatMap((box, index) => [
    ...Array.from({length: CALLERS_PER_BOX}, (_, i) =>
      runCaller(
        {
          box: box.name,
          address: box.callerAddress,
          random: seededRandom(seed * 7919 + index * CALLERS_PER_BOX + i),
          nextId,
          record: (call) => recorder.calls.push(call),
        },
        isOver,
      ),
    ),
    probeVersions({box, newest: () => store.version, recorder, nextId}, isOver),
  ]);
}

/** Applies each item at its scheduled time; resolves when all have ended. */
async function applyOnSchedule<T extends {readonly at: number}>(
  items: readonly T[],
  apply: (item: T) => Promise<void>,
): Promise<void> {
  await Promise.all(
    items.map(async (item) => {
      await pause(item.at);
      await apply(item);
    }),
  );
}

function isEveryBoxServed(
  {calls}: SoakRecorder,
  boxes: readonly SoakBox[],
): boolean {
  return boxes.every(({name}) =>
    calls.some(({box, end}) => box === name && isServed(end)),
  );
}
