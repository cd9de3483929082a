// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What the entry's service needs of its process. */

import type {EntryBrain} from '@lockpin/brain';
import type {Admission} from '@lockpin/limits';
import type {Logger} from '@lockpin/logger';
import type {Clock, RandomSource, Repetition} from '@lockpin/types';
import type {NodeMetrics} from '../process/metrics.js';
import type {CallerProtocol} from './callerProtocol.js';
import type {CallRecord} from './callStory.js';
import type {Exchange, ExchangeHandlers} from './exchange.js';
import type {CallHead} from './frames.js';
import type {RefusedRecord} from './refusedRecord.js';

/** What the entry's service needs of its process. */
export interface EntryServiceDependencies {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly brain: EntryBrain;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  readonly largestBodyBytes: () => number;
  readonly protocol: CallerProtocol;
  readonly isReady: () => boolean;
  readonly isLeaving: () => boolean;
  /**
   * Whether the keys known here are the newest; asked before a caller is told that
   * its key is unknown. Absent where no keys are distributed.
   */
  readonly confirmKeys?: () => Promise<boolean>;
  /** Whether a customer may make a call now; absent where there are no limits. */
  readonly admit?: (customer: string) => Admission | Promise<Admission>;
  /** A call that was admitted has run nowhere, and will not. */
  readonly onNotRun?: (customer: string) => void;
  /** Told of requests that are refused for who their caller is. */
  readonly onUnrouted?: (record: RefusedRecord) => void;
  /** Whether a call that begins here may be an upstream's, made a second time. */
  readonly mayBeRepeat: () => boolean;
  /** The process now on a box, for minting once keys. */
  readonly incarnation: (box: string) => string | undefined;
  readonly isOwnBox: (box: string) => boolean;
  /** Whether a guard must reserve a slot for a call before it may run it. */
  readonly needsGo: (box: string, repetition: Repetition) => boolean;
  /** The guard of a box was silent. */
  readonly onSilence?: (box: string) => void;
  /** Told of every call at its end. */
  readonly onEnded?: (record: CallRecord) => void;
  /** Begins an exchange with the guard of a box. */
  readonly begin: (
    box: string,
    head: CallHead,
    handlers: ExchangeHandlers,
  ) => Exchange;
}
