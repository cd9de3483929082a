// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The dependencies of the entry service. */

import type {EntryStateMachine} from '@lockpin/brain';
import type {Admission} from '@lockpin/limits';
import type {Logger} from '@lockpin/logger';
import type {Clock, RandomSource, Repetition} from '@lockpin/types';
import type {NodeMetrics} from '../process/metrics.js';
import type {AnswerMemory} from './answerMemory.js';
import type {CallerProtocol} from './callerProtocol.js';
import type {CallRecord} from './attemptHistory.js';
import type {Exchange, ExchangeHandlers} from './exchange.js';
import type {CallHead} from './frames.js';
import type {FindParentCall} from './nestedCall.js';
import type {OnCut} from './heldAnswer.js';
import type {RefusedRequestRecord} from './refusedRecord.js';

/** What the entry service needs from its process. */
export interface EntryServiceDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly stateMachine: EntryStateMachine;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  readonly largestBodyBytes: () => number;
  readonly protocol: CallerProtocol;
  readonly isReady: () => boolean;
  readonly isLeaving: () => boolean;
  /**
   * Checks that the keys known here are the newest, before a key is refused as
   * unknown. Absent when no keys are distributed.
   */
  readonly confirmKeys?: () => Promise<boolean>;
  /** Checks a call against its customer's limit; absent without limits. */
  readonly admit?: (customer: string) => Admission | Promise<Admission>;
  /** Called when an admitted call did not run and will not. */
  readonly onNotRun?: (customer: string) => void;
  /** Called for requests refused because of their caller. */
  readonly onUnrouted?: (record: RefusedRequestRecord) => void;
  /**
   * Whether a call that begins here may be a repeat, made by an upstream. The
   * id is that of its parent, if its caller states one.
   */
  readonly mayBeRepeat: (parentRequestId: string | undefined) => boolean;
  /**
   * The call with this request id that an upstream of this box runs, and that
   * makes a call now. Absent where nested calls are not tracked.
   */
  readonly parentCall?: FindParentCall;
  /** The incarnation of the current process on a box, for minting once keys. */
  readonly incarnation: (box: string) => string | undefined;
  readonly isOwnBox: (box: string) => boolean;
  /** Whether a guard must reserve a slot and wait for the go signal. */
  readonly needsGo: (box: string, repetition: Repetition) => boolean;
  /** Called when the guard of a box did not respond in time. */
  readonly onSilence?: (box: string) => void;
  /**
   * Memory for answers whose callers read slowly. Absent where answers end with
   * the time of their calls.
   */
  readonly answerMemory?: AnswerMemory | undefined;
  /** Called when an answer is cut off because of its reader. */
  readonly onCut?: OnCut;
  /** Called at the end of every call. */
  readonly onEnded?: (record: CallRecord) => void;
  /** Starts an exchange with the guard of a box. */
  readonly begin: (
    box: string,
    head: CallHead,
    handlers: ExchangeHandlers,
  ) => Exchange;
}
