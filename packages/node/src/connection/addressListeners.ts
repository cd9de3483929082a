// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Makes servers listen. An address may still be held by an earlier process of
 * the same box, so that an address which cannot be had is tried again; each
 * server by itself, so that none waits for the address of another.
 */

import type {Server} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import type {Clock} from '@lockpin/types';
import {parseAddress} from '@lockpin/utils';

/** Interval between attempts to listen on an address. */
export const LISTEN_RETRY_MILLISECONDS = 100;

/** Interval between reports on an address that stays held. */
export const LISTEN_REMINDER_MILLISECONDS = 10_000;

/** Error code of an address that is not one. */
const INVALID_ADDRESS = 'ERR_INVALID_ADDRESS';

/**
 * Error codes that no wait changes. Every other error is a condition that may
 * pass, such as an address in use or a lack of file descriptors.
 */
const PERMANENT_ERRORS: ReadonlySet<string> = new Set([
  'EACCES',
  'EAFNOSUPPORT',
  'EINVAL',
  'EPERM',
  'ERR_SOCKET_BAD_PORT',
  INVALID_ADDRESS,
]);

/** Something that listens on an address. */
export interface ListenTarget {
  /** What the address is for, in reports. */
  readonly purpose: string;
  /** Returns the address; called before each attempt. */
  readonly address: () => string;
  /** Rejects if the address cannot be had now; is called again then. */
  readonly listen: (address: string) => Promise<unknown>;
}

/** A report on a target, for the log. */
export interface ListenReport {
  readonly kind: 'held' | 'free' | 'unusable' | 'given-up';
  readonly purpose: string;
  readonly address: string;
  /** The error of the last failed attempt. */
  readonly problem: string;
  readonly attempts: number;
}

/** How the attempts to listen ended. */
export type ListenOutcome =
  | {readonly kind: 'listening'}
  | {readonly kind: 'stopped'}
  /** The error will never pass, or the time to wait is over. */
  | {readonly kind: 'failed'; readonly report: ListenReport};

/** Dependencies of the listeners of a process. */
export interface AddressListenersOptions {
  readonly clock: Clock;
  readonly onReport: (report: ListenReport) => void;
  /** Time after which a held address is given up; never if absent. */
  readonly giveUpMilliseconds?: number;
}

/** A target that listens, or waits for its address. */
export interface AddressListener {
  readonly isListening: boolean;
  readonly ended: Promise<ListenOutcome>;
}

/** The listeners of one process. */
export class AddressListeners {
  private readonly waiting = new Set<ListenTarget>();
  private readonly stopping = new AbortController();

  constructor(private readonly options: AddressListenersOptions) {}

  /** Number of targets that do not listen yet. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Whether a target for this purpose does not listen yet. */
  isWaiting(purpose: string): boolean {
    return [...this.waiting].some((target) => target.purpose === purpose);
  }

  /** Starts to listen, as soon as the address can be had. */
  listen(target: ListenTarget): AddressListener {
    let isListening = false;
    this.waiting.add(target);
    const ended = this.tryUntilEnded(target).then((outcome) => {
      isListening = outcome.kind === 'listening';
      if (outcome.kind !== 'failed') {
        this.waiting.delete(target);
      }
      return outcome;
    });
    return {
      get isListening() {
        return isListening;
      },
      ended,
    };
  }

  /** Ends all attempts; what listens already goes on. */
  stop(): void {
    this.stopping.abort();
  }

  private async tryUntilEnded(target: ListenTarget): Promise<ListenOutcome> {
    const {clock, giveUpMilliseconds = Number.POSITIVE_INFINITY} = this.options;
    const startedAt = clock();
    let nextReportAt = startedAt;
    let failure: ListenReport | undefined;
    for (let attempts = 1; !this.stopping.signal.aborted; attempts += 1) {
      const address = target.address();
      const error = await tryToListen(target, address);
      if (error === undefined) {
        this.report(failure && {...failure, kind: 'free', address, attempts});
        return {kind: 'listening'};
      }
      const {purpose} = target;
      failure = {
        kind: kindOf(error, clock() - startedAt >= giveUpMilliseconds),
        purpose,
        address,
        problem: error.message,
        attempts,
      };
      if (failure.kind !== 'held') {
        this.report(failure);
        return {kind: 'failed', report: failure};
      }
      if (clock() >= nextReportAt) {
        this.report(failure);
        nextReportAt = clock() + LISTEN_REMINDER_MILLISECONDS;
      }
      await this.pause();
    }
    return {kind: 'stopped'};
  }

  private report(report: ListenReport | undefined): void {
    if (report !== undefined) {
      this.options.onReport(report);
    }
  }

  private async pause(): Promise<void> {
    const {signal} = this.stopping;
    await delay(LISTEN_RETRY_MILLISECONDS, undefined, {signal}).catch(
      // Only a stop ends the delay early.
      () => undefined,
    );
  }
}

/** Makes a server listen on an address; rejects if it cannot be had now. */
export async function listenOn(server: Server, address: string): Promise<void> {
  const parsed = parseAddress(address);
  if (parsed === undefined) {
    throw Object.assign(
      new Error(`not an IP address and port: ${JSON.stringify(address)}`),
      {code: INVALID_ADDRESS},
    );
  }
  await new Promise<void>((resolve, reject) => {
    const onListening = (): void => {
      server.off('error', onError);
      resolve();
    };
    const onError = (error: Error): void => {
      server.off('listening', onListening);
      server.off('error', onError);
      reject(error);
    };
    server.once('listening', onListening);
    server.on('error', onError);
    server.listen(parsed.port, parsed.host);
  });
}

async function tryToListen(
  {listen}: ListenTarget,
  address: string,
): Promise<NodeJS.ErrnoException | undefined> {
  try {
    await listen(address);
    return undefined;
  } catch (error) {
    return error as NodeJS.ErrnoException;
  }
}

function kindOf(
  {code = ''}: NodeJS.ErrnoException,
  isTimeOver: boolean,
): 'unusable' | 'given-up' | 'held' {
  if (PERMANENT_ERRORS.has(code)) {
    return 'unusable';
  }
  return isTimeOver ? 'given-up' : 'held';
}
