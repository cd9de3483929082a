// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Injects planned faults and records when each began and ended. */

import {setTimeout as pause} from 'node:timers/promises';
import type {PlannedFault} from './faultPlan.js';
import {HEALTHY_LINK} from './linkProxy.js';
import type {SoakBox} from './soakBox.js';
import type {SoakRecorder} from './soakRecorder.js';
import type {SoakStore} from './soakStore.js';

/** The boxes and the store to inject faults into, and the recorder. */
export interface FaultTargets {
  readonly boxes: readonly SoakBox[];
  readonly store: SoakStore;
  readonly recorder: SoakRecorder;
}

/** Applies one fault; resolves when it is over. */
export async function applyFault(
  targets: FaultTargets,
  fault: PlannedFault,
): Promise<void> {
  const {store, recorder} = targets;
  switch (fault.kind) {
    case 'store':
      await recorder.trouble('', false, fault.mood, () =>
        store.misbehave(fault.mood, fault.lasts),
      );
      return;
    case 'store-forgets':
      store.forget();
      return;
    case 'store-restored':
      await recorder.trouble('', false, fault.kind, () =>
        store.restore(fault.awayFor, fault.lost),
      );
      return;
    case 'configure':
      store.configure();
      return;
    case 'other-record':
      store.writeOther(targets.boxes[fault.box]?.name ?? '', fault.value);
      return;
    case 'other-announcement':
      // Nodes keep the valid announcement, so no disruption is recorded that
      // would relax the checks.
      await targets.boxes[fault.box]?.upstreams.misstate(fault.fields);
      return;
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
  {readonly kind: 'other-announcement' | 'other-record'}
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
  await recorder.trouble(box.name, isPlanned, fault.kind, () =>
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
      await pause(fault.downFor);
      box.process.start();
      break;
    case 'stop':
      recorder.stopped(await box.process.stop());
      await pause(fault.downFor);
      box.process.start();
      break;
    case 'pause':
      await box.process.pause(fault.lasts);
      break;
    case 'reload':
      box.reload(fault.signals);
      break;
    case 'link':
      box.link(fault.link).setFault(fault.fault);
      await pause(fault.lasts);
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

async function injectUpstreamFault(
  box: SoakBox,
  {
    mood: mode,
    share,
    lasts: durationMilliseconds,
  }: PlannedFault & {readonly kind: 'upstream'},
): Promise<void> {
  const standIn = box.upstreams.present?.standIn;
  if (standIn === undefined) {
    return;
  }
  standIn.mode = mode;
  standIn.affectedShare = share;
  await pause(durationMilliseconds);
  standIn.mode = 'well';
}
