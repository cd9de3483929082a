// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Injects planned faults and records when each began and ended. */

import {setTimeout as pause} from 'node:timers/promises';
import {applyLoad} from './applyLoad.js';
import type {PlannedLoad} from './applyLoad.js';
import {applyStarting} from './applyStarting.js';
import type {PlannedStart} from './applyStarting.js';
import type {PlannedFault} from './plannedFault.js';
import {HEALTHY_LINK} from './linkProxy.js';
import type {SoakBox} from './soakBox.js';
import type {SoakRecorder} from './soakRecorder.js';
import type {SoakStore} from './soakStore.js';

/** The boxes and the store to inject faults into, and the recorder. */
export interface FaultTargets {
  readonly boxes: readonly SoakBox[];
  readonly store: SoakStore;
  readonly recorder: SoakRecorder;
  /** Returns a new request id. */
  readonly nextId: () => string;
}

/** Applies one fault; resolves when it is over. */
export async function applyFault(
  targets: FaultTargets,
  fault: PlannedFault,
): Promise<void> {
  const {store, recorder} = targets;
  switch (fault.kind) {
    case 'store':
      await recorder.recordDisruption('', false, fault.mode, () =>
        store.applyMode(fault.mode, fault.durationMilliseconds),
      );
      return;
    case 'isolation':
      await recorder.recordDisruption('', false, fault.kind, () =>
        isolateBoxes(targets.boxes, fault.durationMilliseconds),
      );
      return;
    case 'rejections':
    case 'flood':
    case 'slow-readers':
    case 'idle-connections':
      // No disruption is recorded: all guarantees hold under load.
      await applyLoad(
        targets.boxes,
        {nextId: targets.nextId, record: (call) => recorder.calls.push(call)},
        fault,
      );
      return;
    case 'store-history-dropped':
      store.dropHistory();
      return;
    case 'store-restored':
      await recorder.recordDisruption('', false, fault.kind, () =>
        store.restore(fault.unavailableMilliseconds, fault.lost),
      );
      return;
    case 'configure':
      store.writeNextVersion();
      return;
    case 'overwritten-record':
      store.overwriteBoxRecord(
        targets.boxes[fault.box]?.name ?? '',
        fault.value,
      );
      return;
    case 'stated-limit':
      await applyLimit(targets, fault);
      return;
    case 'stated-leaving':
      await targets.boxes[fault.box]?.upstreams.leaveByStatement();
      return;
    case 'modified-announcement':
      // Nodes keep the valid announcement, so no disruption is recorded that
      // would relax the checks.
      await targets.boxes[fault.box]?.upstreams.announceModified(fault.fields);
      return;
    case 'held-addresses':
    case 'overlapping-start':
    case 'stops-in-starts':
    case 'signals':
    case 'settings-rewritten': {
      const box = targets.boxes[fault.box];
      if (box !== undefined) {
        await applyStarting(recorder, box, fault);
      }
      return;
    }
    default: {
      const box = targets.boxes[fault.box];
      if (box !== undefined) {
        await applyToBox(recorder, box, fault);
      }
    }
  }
}

/** Faults of a single box that count as disruptions. */
type BoxFault = Exclude<
  PlannedFault & {readonly box: number},
  | PlannedLoad
  | PlannedStart
  | {
      readonly kind:
        | 'modified-announcement'
        | 'overwritten-record'
        | 'stated-limit'
        | 'stated-leaving';
    }
>;

/** Operator actions, which are guaranteed to lose no call. */
const PLANNED_KINDS: ReadonlySet<BoxFault['kind']> = new Set([
  'stop',
  'reload',
  'replace-upstream',
]);

async function applyToBox(
  recorder: SoakRecorder,
  box: SoakBox,
  fault: BoxFault,
): Promise<void> {
  const isPlanned = PLANNED_KINDS.has(fault.kind);
  await recorder.recordDisruption(box.name, isPlanned, fault.kind, () =>
    injectBoxFault(recorder, box, fault),
  );
}

async function injectBoxFault(
  recorder: SoakRecorder,
  box: SoakBox,
  fault: BoxFault,
): Promise<void> {
  switch (fault.kind) {
    case 'kill':
      await box.process.kill();
      await pause(fault.downMilliseconds);
      box.process.start();
      break;
    case 'stop':
      recorder.recordStop(await box.process.stop());
      await pause(fault.downMilliseconds);
      box.process.start();
      break;
    case 'pause':
      await box.process.pause(fault.durationMilliseconds);
      break;
    case 'reload':
      box.reload(fault.sendsSignal);
      break;
    case 'link':
      box.link(fault.link).setFault(fault.fault);
      await pause(fault.durationMilliseconds);
      box.link(fault.link).setFault(HEALTHY_LINK);
      break;
    case 'upstream':
      await injectUpstreamFault(box, fault);
      break;
    case 'replace-upstream':
      await box.upstreams.replace();
      break;
    case 'crash-upstream':
      await box.upstreams.crash();
      break;
    case 'restart-upstream':
      await box.upstreams.crash(true);
      break;
  }
}

/** No box hears any other for some time. */
async function isolateBoxes(
  boxes: readonly SoakBox[],
  milliseconds: number,
): Promise<void> {
  boxes.forEach((box) => box.link('peers').setFault({kind: 'silent'}));
  await pause(milliseconds);
  boxes.forEach((box) => box.link('peers').setFault(HEALTHY_LINK));
}

/** Lets the current upstream of a box state a limit for some time. */
async function applyLimit(
  {boxes, recorder}: FaultTargets,
  fault: PlannedFault & {readonly kind: 'stated-limit'},
): Promise<void> {
  const box = boxes[fault.box];
  const instance = box?.upstreams.current;
  if (
    box === undefined ||
    instance === undefined ||
    instance.standIn.statedLimit !== undefined
  ) {
    return;
  }
  const {value, durationMilliseconds} = fault;
  instance.standIn.statedLimit = value;
  const end = recorder.recordLimit(box.name, instance.process, Number(value));
  await pause(durationMilliseconds);
  instance.standIn.statedLimit = undefined;
  end();
}

async function injectUpstreamFault(
  box: SoakBox,
  {
    mode,
    share,
    durationMilliseconds,
  }: PlannedFault & {readonly kind: 'upstream'},
): Promise<void> {
  const standIn = box.upstreams.current?.standIn;
  if (standIn === undefined) {
    return;
  }
  standIn.mode = mode;
  standIn.affectedShare = share;
  await pause(durationMilliseconds);
  standIn.mode = 'well';
}
