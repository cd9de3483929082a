// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
export * from './entry/entryStateMachine.js';
export * from './entry/entryMessages.js';
export * from './entry/entrySettings.js';
export type {UnusedUpstreams} from './entry/upstreamChooser.js';
export * from './guard/guardStateMachine.js';
export * from './guard/guardMessages.js';
export type {DoubtReason} from './guard/quickDoubt.js';
export {REPORT_INTERVAL_MILLISECONDS} from './guard/reportSchedule.js';
export * from './guard/onceRefusals.js';
export type {ParentCall} from './guard/runningCalls.js';
export * from './guard/upstreamGuard.js';
export type {StandingChange} from './guard/upstreamStanding.js';
export * from './control/controlStateMachine.js';
export * from './control/controlMessages.js';
export * from './control/recordBuffer.js';
export * from './control/snapshotAssembler.js';
export * from './control/snapshotWriter.js';
export * from './control/startPhase.js';
