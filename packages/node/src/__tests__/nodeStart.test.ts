// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin-node as a process whose addresses are held while it starts. */

import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {createServer} from 'node:net';
import type {Server} from 'node:net';
import {fileURLToPath} from 'node:url';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {freeAddresses} from '../../../tools/src/harness/ports.js';
import {listenOn} from '../connection/addressListeners.js';

const PROGRAM = fileURLToPath(
  new URL('../../bin/lockpin-node.mjs', import.meta.url),
);

const WAIT_MILLISECONDS = 30_000;

let addresses: Readonly<Record<'peer' | 'caller' | 'operator', string>>;
let holders: Server[];
let child: ChildProcess | undefined;
let output: string;
let exitCode: number | null | undefined;

beforeEach(async () => {
  const [peer, caller, operator] = (await freeAddresses(3)) as [
    string,
    string,
    string,
  ];
  addresses = {peer, caller, operator};
  holders = [];
  output = '';
  exitCode = undefined;
});

afterEach(async () => {
  child?.kill('SIGKILL');
  await eventually(() => exitCode !== undefined);
  holders.forEach((holder) => holder.close());
});

async function hold(address: string): Promise<void> {
  const holder = createServer((socket) => socket.destroy());
  await listenOn(holder, address);
  holders.push(holder);
}

function start(): void {
  const started = spawn('node', [
    PROGRAM,
    '--box=box-1',
    '--data-centre=one',
    `--caller-address=${addresses.caller}`,
    `--operator-address=${addresses.operator}`,
    `--peer-address=${addresses.peer}`,
    '--log-address=127.0.0.1:9',
    '--box-list-address=127.0.0.1:9',
  ]);
  started.stderr.on('data', (bytes: Buffer) => (output += String(bytes)));
  started.once('exit', (code) => (exitCode = code));
  child = started;
}

async function eventually(
  holds: () => boolean | Promise<boolean>,
): Promise<void> {
  const limit = Date.now() + WAIT_MILLISECONDS;
  while (!(await holds())) {
    if (Date.now() > limit) {
      throw new Error(`timed out waiting for a condition; log: ${output}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
}

const isHeld = (): boolean => output.includes('address held');

describe('lockpin-node', () => {
  it.each([['peer'], ['caller'], ['operator']] as const)(
    'waits for its %s address',
    async (name) => {
      await hold(addresses[name]);
      start();
      await eventually(() => isHeld() || exitCode !== undefined);
      expect(exitCode).toBeUndefined();
      holders.forEach((holder) => holder.close());
      await eventually(() => output.includes('node started'));
      expect(output).toContain('address free');
    },
  );

  it('gives up with code 3 and a line that names an address that stays held', async () => {
    await hold(addresses.caller);
    start();
    await eventually(() => exitCode !== undefined);
    expect(exitCode).toBe(3);
    expect(output).toContain('address given-up');
    expect(output).toContain(addresses.caller);
  });

  it('ends with code 0 at a signal while it waits', async () => {
    await hold(addresses.caller);
    start();
    await eventually(isHeld);
    child?.kill('SIGTERM');
    child?.kill('SIGTERM');
    await eventually(() => exitCode !== undefined);
    expect(exitCode).toBe(0);
  });

  it('outlives a log without a reader', async () => {
    await hold(addresses.caller);
    start();
    await eventually(isHeld);
    child?.stderr?.destroy();
    holders.forEach((holder) => holder.close());
    await eventually(isListening);
    child?.kill('SIGTERM');
    await eventually(() => exitCode !== undefined);
    expect(exitCode).toBe(0);
  });
});

/** Whether anything accepts connections of callers. */
async function isListening(): Promise<boolean> {
  try {
    await fetch(`http://${addresses.caller}/`);
    return true;
  } catch (error) {
    if (error instanceof TypeError) {
      return false;
    }
    throw error;
  }
}
