// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Starts, stops and restarts the node process of a box. */

import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {catchesHangup} from '../harness/catchesHangup.js';
import {killOnExit} from '../harness/killOnExit.js';
import {withDescriptorLimit} from '../harness/withDescriptorLimit.js';
import type {ExitRecord, StopRecord} from './soakHistory.js';

/** Path of the built node bundle. */
export const NODE_BUNDLE = fileURLToPath(
  new URL('../../../../target/lockpin-node.mjs', import.meta.url),
);

/**
 * Time between SIGTERM and SIGKILL. A stopping node accepts calls for 0.42 of
 * it; the longest call accepted until then must end before 0.85 of it.
 */
export const STOP_LIMIT_MILLISECONDS = 4000;

/** Delay before the restart of a process that exited unexpectedly. */
const RESTART_DELAY_MILLISECONDS = 300;

/** Options of a box process. */
export interface BoxProcessOptions {
  readonly box: string;
  readonly logFile: string;
  /** Arguments of the Node.js runtime; by default, the built bundle. */
  readonly command?: readonly string[];
  /** Limit of file descriptors; that of this process if absent. */
  readonly descriptors?: number | undefined;
  /** Writes the settings of a start; returns the environment variables. */
  readonly prepareEnvironment: () => Readonly<Record<string, string>>;
  readonly isOver: () => boolean;
  readonly onUnexpectedExit: (exit: ExitRecord) => void;
}

/** A started process. */
interface BoxRun {
  readonly child: ChildProcess;
  readonly spawnedAt: number;
  /** Resolves to the exit code; null after a signal. */
  readonly exit: Promise<number | null>;
  /** Whether the process was killed or asked to stop. */
  isEnding: boolean;
}

/** Runs one process of its box at a time, except for one that is ending. */
export class BoxProcess {
  private starts = 0;
  private current: BoxRun | undefined;
  /** All processes that have not exited. */
  private readonly runs = new Set<BoxRun>();

  constructor(private readonly options: BoxProcessOptions) {}

  /** Number of process starts so far; identifies the current process. */
  get life(): number {
    return this.starts;
  }

  /** Process id of the running process. */
  get pid(): number | undefined {
    return this.current?.child.pid;
  }

  /** Starts the node unless it is already running. */
  start(): void {
    if (this.current !== undefined || this.options.isOver()) {
      return;
    }
    const child = this.spawn();
    this.starts += 1;
    killOnExit(child);
    const exit = new Promise<number | null>((resolve) =>
      child.once('exit', (code, signal) => {
        this.handleExit(run, code, signal);
        resolve(code);
      }),
    );
    const run: BoxRun = {child, spawnedAt: Date.now(), exit, isEnding: false};
    this.current = run;
    this.runs.add(run);
  }

  /** Kills the node; resolves when it has exited. */
  async kill(): Promise<void> {
    const run = this.current;
    if (run !== undefined) {
      run.isEnding = true;
      run.child.kill('SIGKILL');
      await run.exit;
    }
  }

  /** Performs a planned stop; undefined when the node is not running. */
  async stop(): Promise<StopRecord | undefined> {
    const run = this.current;
    if (run === undefined) {
      return undefined;
    }
    const {child} = run;
    const signalledAt = Date.now();
    run.isEnding = true;
    child.kill('SIGTERM');
    let wasKilled = false;
    const killTimer = setTimeout(() => {
      wasKilled = true;
      child.kill('SIGKILL');
    }, STOP_LIMIT_MILLISECONDS);
    const exitCode = await run.exit;
    clearTimeout(killTimer);
    const exitedAt = Date.now();
    const {box} = this.options;
    return {box, signalledAt, exitedAt, exitCode, wasKilled};
  }

  /** Performs a planned stop, and starts the next process meanwhile. */
  async replace(): Promise<StopRecord | undefined> {
    const stopped = this.stop();
    this.current = undefined;
    this.start();
    return stopped;
  }

  /** Suspends the node with SIGSTOP for a time. */
  async pause(milliseconds: number): Promise<void> {
    const child = this.current?.child;
    child?.kill('SIGSTOP');
    await pause(milliseconds);
    child?.kill('SIGCONT');
  }

  /**
   * Sends SIGHUP if the node has its handler. Before that, the signal would end
   * the runtime, and the node will read the changed settings anyway.
   */
  signalReload(): void {
    const {pid} = this;
    if (pid !== undefined && catchesHangup(pid)) {
      this.current?.child.kill('SIGHUP');
    }
  }

  /** Kills the node at the end of the soak, even when it is suspended. */
  async end(): Promise<void> {
    const runs = [...this.runs];
    for (const {child} of runs) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(runs.map(({exit}) => exit));
  }

  private spawn(): ChildProcess {
    const {
      logFile,
      prepareEnvironment,
      descriptors,
      command = [NODE_BUNDLE],
    } = this.options;
    const variables = prepareEnvironment();
    const log = openSync(logFile, 'a');
    const [file, ...words] = withDescriptorLimit(
      [process.execPath, ...command],
      descriptors,
    );
    const child = spawn(file, words, {
      stdio: ['ignore', log, log],
      env: {...process.env, ...variables},
    });
    closeSync(log);
    return child;
  }

  /** Restarts a process that exited unexpectedly, as on a real box. */
  private handleExit(
    run: BoxRun,
    exitCode: number | null,
    signal: NodeJS.Signals | null,
  ): void {
    const {box, isOver, onUnexpectedExit} = this.options;
    this.runs.delete(run);
    if (this.current === run) {
      this.current = undefined;
    }
    if (run.isEnding || isOver()) {
      return;
    }
    const at = Date.now();
    const age = at - run.spawnedAt;
    onUnexpectedExit({box, at, exitCode, signal, age});
    setTimeout(() => this.start(), RESTART_DELAY_MILLISECONDS);
  }
}
