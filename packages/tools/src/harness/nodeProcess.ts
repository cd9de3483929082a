// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Starts lockpin-node processes and stops them by process id. */

import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {saltedHash} from '@lockpin/utils';
import {request} from 'undici';
import {freeAddresses} from './ports.js';
import {killOnExit} from './killOnExit.js';

const NODE_BINARY = fileURLToPath(
  new URL('../../../node/lib/main.js', import.meta.url),
);

const SALT = '00112233445566778899aabbccddeeff';
const SECRET = 'demo-secret';

/** The bootstrap token with which the tools act as operators. */
export const OPERATOR_TOKEN = `bootstrap.${SECRET}`;

/** Value of --bootstrap-token-hash that makes nodes accept the token. */
export const BOOTSTRAP_TOKEN_HASH = `${SALT}:${saltedHash(SALT, SECRET)}`;

const READY_TIMEOUT_MILLISECONDS = 30_000;
const POLL_INTERVAL_MILLISECONDS = 50;

/** Addresses on which a node listens. */
export interface NodeAddresses {
  readonly caller: string;
  readonly operator: string;
  readonly peer: string;
}

/** Options of a node process. */
export interface NodeProcessOptions {
  readonly box: string;
  readonly dataCentre: string;
  readonly logAddress: string;
  readonly boxListAddress: string;
  readonly extra?: readonly string[];
  /** Flags of the Node.js runtime. */
  readonly nodeFlags?: readonly string[];
}

/** Returns three free addresses for one node. */
export async function freeNodeAddresses(): Promise<NodeAddresses> {
  const [caller = '', operator = '', peer = ''] = await freeAddresses(3);
  return {caller, operator, peer};
}

/** One lockpin-node process. */
export class NodeProcess {
  private process: ChildProcess | undefined;
  private exit: Promise<number | null> = Promise.resolve(null);
  /** The last 50 chunks of its log, shown when it does not become ready. */
  readonly log: string[] = [];

  constructor(
    readonly options: NodeProcessOptions,
    readonly addresses: NodeAddresses,
  ) {}

  get pid(): number | undefined {
    return this.process?.pid;
  }

  /** Starts the process; it is ready once it has a configuration in force. */
  start(): void {
    const {box, dataCentre, logAddress, boxListAddress, extra, nodeFlags} =
      this.options;
    const {caller, operator, peer} = this.addresses;
    const child = spawn(
      process.execPath,
      [
        ...(nodeFlags ?? []),
        NODE_BINARY,
        `--box=${box}`,
        `--data-centre=${dataCentre}`,
        `--caller-address=${caller}`,
        `--operator-address=${operator}`,
        `--peer-address=${peer}`,
        `--log-address=${logAddress}`,
        `--box-list-address=${boxListAddress}`,
        `--bootstrap-token-hash=${BOOTSTRAP_TOKEN_HASH}`,
        ...(extra ?? []),
      ],
      {stdio: ['ignore', 'ignore', 'pipe']},
    );
    this.process = child;
    killOnExit(child);
    child.stderr?.on('data', (chunk: Buffer) => this.appendLog(String(chunk)));
    this.exit = new Promise((resolve) => child.once('exit', resolve));
  }

  async whenReady(): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MILLISECONDS;
    while (Date.now() < deadline) {
      if (await this.isReady()) {
        return;
      }
      await pause(POLL_INTERVAL_MILLISECONDS);
    }
    throw new Error(
      `${this.options.box} did not become ready in time; its log: ${this.log.join('')}`,
    );
  }

  /** Sends SIGTERM for a planned stop; resolves to the exit code. */
  terminate(): Promise<number | null> {
    this.process?.kill('SIGTERM');
    return this.exit;
  }

  /** Sends SIGKILL; resolves to the exit code. */
  kill(): Promise<number | null> {
    this.process?.kill('SIGKILL');
    return this.exit;
  }

  private async isReady(): Promise<boolean> {
    try {
      const {statusCode, body} = await request(
        `http://${this.addresses.operator}/ready`,
      );
      await body.dump();
      return statusCode === 200;
    } catch {
      return false;
    }
  }

  private appendLog(text: string): void {
    this.log.push(text);
    this.log.splice(0, Math.max(0, this.log.length - 50));
  }
}
