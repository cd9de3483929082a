// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Starts child processes of the benchmark and learns their addresses. */

import {fork} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {fileURLToPath} from 'node:url';
import {LOOPBACK} from '../harness/ports.js';

/** A child process that listens on an address. */
export interface ListeningChild {
  readonly address: string;
  readonly pid: number;
  readonly child: ChildProcess;
}

/** In the child: listens on a free port and sends the address to the parent. */
export function listenAndReportAddress(server: Server): void {
  server.listen(0, LOOPBACK, () => {
    const {port} = server.address() as AddressInfo;
    process.send?.(`${LOOPBACK}:${port}`);
  });
}

/** In the parent: starts a child module and waits for its address. */
export async function startChild(
  module: string,
  args: readonly string[] = [],
): Promise<ListeningChild> {
  const file = fileURLToPath(new URL(module, import.meta.url));
  const child = fork(file, [...args]);
  process.once('exit', () => child.kill('SIGKILL'));
  const address = await new Promise<string>((resolve) =>
    child.once('message', (message) => resolve(String(message))),
  );
  return {address, pid: child.pid ?? 0, child};
}
