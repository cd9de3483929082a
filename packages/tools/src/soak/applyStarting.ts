// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Disturbs starts and ends of a box's node. */

import {createServer} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {parseAddress} from '@lockpin/utils';
import type {PlannedFault} from './plannedFault.js';
import type {SoakBox} from './soakBox.js';
import type {SoakRecorder} from './soakRecorder.js';

/** Disturbances of starts and ends. */
export type PlannedStart = PlannedFault & {
  readonly kind:
    | 'held-addresses'
    | 'overlapping-start'
    | 'stops-in-starts'
    | 'signals'
    | 'settings-rewritten';
};

/** Interval between attempts to hold an address that the node still has. */
const HOLD_RETRY_MILLISECONDS = 10;

/** Applies the disturbance; resolves when it is over. */
export async function applyStarting(
  recorder: SoakRecorder,
  box: SoakBox,
  fault: PlannedStart,
): Promise<void> {
  const record = (isPlanned: boolean, action: () => Promise<void>) =>
    recorder.recordDisruption(box.name, isPlanned, fault.kind, action);
  switch (fault.kind) {
    case 'held-addresses':
      // The stop itself is planned and cuts nothing.
      await record(fault.isStopped, () => end(recorder, box, fault.isStopped));
      await record(false, () => startWhileHeld(box, fault));
      break;
    case 'overlapping-start':
      await record(true, async () =>
        recorder.recordStop(await box.process.replace()),
      );
      break;
    case 'stops-in-starts':
      await record(true, () => stopInStarts(recorder, box, fault.ages));
      break;
    case 'signals':
      await record(true, () => sendSignals(recorder, box, fault));
      break;
    case 'settings-rewritten':
      // A node that starts may have to wait for its settings.
      await record(!fault.restarts, () => rewriteSettings(box, fault));
      break;
  }
}

async function end(
  recorder: SoakRecorder,
  box: SoakBox,
  isStopped: boolean,
): Promise<void> {
  if (isStopped) {
    recorder.recordStop(await box.process.stop());
  } else {
    await box.process.kill();
  }
}

async function startWhileHeld(
  box: SoakBox,
  {
    addresses,
    durationMilliseconds,
  }: PlannedFault & {readonly kind: 'held-addresses'},
): Promise<void> {
  const until = Date.now() + durationMilliseconds;
  const holds = addresses.map((name) => holdUntil(box.addressFor(name), until));
  await pause(HOLD_RETRY_MILLISECONDS);
  box.process.start();
  await Promise.all(holds);
}

/** Holds an address from when it is free, as another process would. */
async function holdUntil(address: string, until: number): Promise<void> {
  const parsed = parseAddress(address);
  const server = createServer((socket) => socket.destroy());
  while (!server.listening && Date.now() < until) {
    const isHeld = new Promise<boolean>((resolve) => {
      server.once('listening', () => resolve(true));
      server.once('error', () => resolve(false));
    });
    server.listen(parsed);
    if (!(await isHeld)) {
      await pause(HOLD_RETRY_MILLISECONDS);
    }
    server.removeAllListeners('listening').removeAllListeners('error');
  }
  await pause(Math.max(0, until - Date.now()));
  server.close();
}

async function stopInStarts(
  recorder: SoakRecorder,
  box: SoakBox,
  ages: readonly number[],
): Promise<void> {
  recorder.recordStop(await box.process.stop());
  for (const age of ages) {
    box.process.start();
    await pause(age);
    recorder.recordStop(await box.process.stop());
  }
  box.process.start();
}

async function sendSignals(
  recorder: SoakRecorder,
  box: SoakBox,
  {signals, gapMilliseconds}: PlannedFault & {readonly kind: 'signals'},
): Promise<void> {
  const stops: Promise<void>[] = [];
  for (const signal of signals) {
    if (signal === 'SIGHUP') {
      box.reload(true);
    } else {
      const stop = box.process.stop();
      stops.push(stop.then((record) => recorder.recordStop(record)));
    }
    await pause(gapMilliseconds);
  }
  await Promise.all(stops);
  box.process.start();
}

async function rewriteSettings(
  box: SoakBox,
  {
    stepMilliseconds,
    sendsSignal,
    restarts,
  }: PlannedFault & {readonly kind: 'settings-rewritten'},
): Promise<void> {
  if (restarts) {
    await box.process.kill();
    box.process.start();
  }
  await box.rewriteSettings(stepMilliseconds, sendsSignal);
}
