// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The faults that a soak can schedule. */

import type {StoreMode, UpstreamMode} from '@lockpin/platform-stand-ins';
import type {LinkFault} from './linkProxy.js';

/** The connections of a box that link faults can affect. */
export type LinkName = 'peers' | 'store' | 'upstream';

/** The addresses of a box that something else can hold. */
export type HeldAddress =
  'caller' | 'peer' | 'readiness' | 'announcements' | 'metrics';

/** A scheduled fault; `at` is in milliseconds from the start of the faults. */
export type PlannedFault = {readonly at: number} & (
  | {
      readonly kind: 'kill';
      readonly box: number;
      readonly downMilliseconds: number;
    }
  | {
      readonly kind: 'stop';
      readonly box: number;
      readonly downMilliseconds: number;
    }
  | {
      readonly kind: 'pause';
      readonly box: number;
      readonly durationMilliseconds: number;
    }
  /** Another process holds addresses of the box while its node restarts. */
  | {
      readonly kind: 'held-addresses';
      readonly box: number;
      readonly addresses: readonly HeldAddress[];
      /** Whether the node is stopped as planned; otherwise it is killed. */
      readonly isStopped: boolean;
      readonly durationMilliseconds: number;
    }
  /** The node is stopped, and the next one starts while it ends. */
  | {readonly kind: 'overlapping-start'; readonly box: number}
  /** The node is stopped, and each next one while it starts. */
  | {
      readonly kind: 'stops-in-starts';
      readonly box: number;
      /** Ages at which the starting processes are told to stop. */
      readonly ages: readonly number[];
    }
  /** Signals in a row; SIGTERM begins a planned stop. */
  | {
      readonly kind: 'signals';
      readonly box: number;
      readonly signals: readonly ('SIGHUP' | 'SIGTERM')[];
      readonly gapMilliseconds: number;
    }
  /** The settings file is rewritten in place, in steps, or while a node starts. */
  | {
      readonly kind: 'settings-rewritten';
      readonly box: number;
      readonly stepMilliseconds: number;
      readonly sendsSignal: boolean;
      readonly restarts: boolean;
    }
  /** Changes the settings file, with or without a signal to the node. */
  | {
      readonly kind: 'reload';
      readonly box: number;
      readonly sendsSignal: boolean;
    }
  | {
      readonly kind: 'link';
      readonly box: number;
      readonly link: LinkName;
      readonly fault: LinkFault;
      readonly durationMilliseconds: number;
    }
  | {
      readonly kind: 'store';
      readonly mode: StoreMode;
      readonly durationMilliseconds: number;
    }
  /** No box hears any other; all reach the store. */
  | {readonly kind: 'isolation'; readonly durationMilliseconds: number}
  | {readonly kind: 'store-history-dropped'}
  /** The store is unavailable, then comes back from an older copy. */
  | {
      readonly kind: 'store-restored';
      readonly unavailableMilliseconds: number;
      readonly lost: number;
    }
  | {
      readonly kind: 'upstream';
      readonly box: number;
      readonly mode: UpstreamMode;
      readonly share: number;
      readonly durationMilliseconds: number;
    }
  /** All upstreams of a service reject calls at random, whatever their load. */
  | {
      readonly kind: 'rejections';
      readonly service: string;
      readonly share: number;
      readonly durationMilliseconds: number;
    }
  /** One customer sends many times its usual calls to a box. */
  | {
      readonly kind: 'flood';
      readonly box: number;
      readonly callers: number;
      readonly durationMilliseconds: number;
    }
  /** Callers of a box that read long answers slowly, or stop reading. */
  | {
      readonly kind: 'slow-readers';
      readonly box: number;
      readonly readers: number;
    }
  /** Clients connect to an address of a box and send nothing. */
  | {
      readonly kind: 'idle-connections';
      readonly box: number;
      readonly address: HeldAddress;
      readonly connections: number;
      readonly durationMilliseconds: number;
    }
  /** The upstream drains and leaves; one with a new id replaces it. */
  | {readonly kind: 'replace-upstream'; readonly box: number}
  /** The upstream disappears without notice; one with a new id replaces it. */
  | {readonly kind: 'crash-upstream'; readonly box: number}
  /** The upstream disappears; a new process reuses its id. */
  | {readonly kind: 'restart-upstream'; readonly box: number}
  /** The upstream states a limit in its answers. */
  | {
      readonly kind: 'stated-limit';
      readonly box: number;
      readonly value: string;
      readonly durationMilliseconds: number;
    }
  /** The upstream states that it is leaving, and never announces it. */
  | {readonly kind: 'stated-leaving'; readonly box: number}
  /** Another writer sends an announcement in the upstream's name. */
  | {
      readonly kind: 'modified-announcement';
      readonly box: number;
      readonly fields: object;
    }
  /** Another writer overwrites the record of a box. */
  | {
      readonly kind: 'overwritten-record';
      readonly box: number;
      readonly value: string;
    }
  | {readonly kind: 'configure'}
);
