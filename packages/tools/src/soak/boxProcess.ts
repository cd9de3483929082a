// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Starts, stops and restarts the node process of a box. */

import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {catchesHangup} from '../harness/catchesHangup.js';
import {killOnExit} from '../harness/killOnExit.js';
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
  /** Writes the settings of a start; returns the environment variables. */
  readonly prepareEnvironment: () => Readonly<Record<string, string>>;
  readonly isOver: () => boolean;
  readonly onUnexpectedExit: (exit: ExitRecord) => void;
}

/** Runs at most one process of its box at a time. */
export class BoxProcess {
  private starts = 0;
  private process: ChildProcess | undefined;
  private spawnedAt = 0;
  private exit: Promise<number | null> = Promise.resolve(null);
  /** Whether the process was killed or asked to stop. */
  private isEnding = false;

  constructor(private readonly options: BoxProcessOptions) {}

  /** Number of process starts so far; identifies the current process. */
  get life(): number {
    return this.starts;
  }

  /** Process id of the running process. */
  get pid(): number | undefined {
    return this.process?.pid;
  }

  /** Starts the node unless it is already running. */
  start(): void {
    if (this.process !== undefined || this.options.isOver()) {
      return;
    }
    const child = this.spawn();
    this.starts += 1;
    this.spawnedAt = Date.now();
    this.process = child;
    killOnExit(child);
    this.isEnding = false;
    this.exit = new Promise((resolve) =>
      child.once('exit', (code, signal) => {
        this.process = undefined;
        this.handleExit(code, signal);
        resolve(code);
      }),
    );
  }

  /** Kills the node; resolves when it has exited. */
  async kill(): Promise<void> {
    this.isEnding = true;
    this.process?.kill('SIGKILL');
    await this.exit;
  }

  /** Performs a planned stop; undefined when the node is not running. */
  async stop(): Promise<StopRecord | undefined> {
    const child = this.process;
    if (child === undefined) {
      return undefined;
    }
    const signalledAt = Date.now();
    this.isEnding = true;
    child.kill('SIGTERM');
    let wasKilled = false;
    const killTimer = setTimeout(() => {
      wasKilled = true;
      child.kill('SIGKILL');
    }, STOP_LIMIT_MILLISECONDS);
    const exitCode = await this.exit;
    clearTimeout(killTimer);
    const exitedAt = Date.now();
    const {box} = this.options;
    return {box, signalledAt, exitedAt, exitCode, wasKilled};
  }

  /** Suspends the node with SIGSTOP for a time. */
  async pause(milliseconds: number): Promise<void> {
    const child = this.process;
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
      this.process?.kill('SIGHUP');
    }
  }

  /** Kills the node at the end of the soak, even when it is suspended. */
  async end(): Promise<void> {
    this.process?.kill('SIGCONT');
    this.process?.kill('SIGKILL');
    await this.exit;
  }

  private spawn(): ChildProcess {
    const {logFile, prepareEnvironment, command = [NODE_BUNDLE]} = this.options;
    const variables = prepareEnvironment();
    const log = openSync(logFile, 'a');
    const child = spawn(process.execPath, [...command], {
      stdio: ['ignore', log, log],
      env: {...process.env, ...variables},
    });
    closeSync(log);
    return child;
  }

  /** Restarts a process that exited unexpectedly, as on a real box. */
  private handleExit(
    exitCode: number | null,
    signal: NodeJS.Signals | null,
  ): void {
    const {box, isOver, onUnexpectedExit} = this.options;
    if (this.isEnding || isOver()) {
      return;
    }
    const at = Date.now();
    const age = at - this.spawnedAt;
    onUnexpectedExit({box, at, exitCode, signal, age});
    setTimeout(() => this.start(), RESTART_DELAY_MILLISECONDS);
  }
}
