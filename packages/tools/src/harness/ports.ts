// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Finds free ports on the loopback interface. */

import {createServer} from 'node:net';

/** The host on which the tools listen. */
export const LOOPBACK = '127.0.0.1';

/**
 * The range lies below the ephemeral ports of outgoing connections, and above the
 * ports that fetch refuses, of which 10,080 is the last.
 */
const FIRST_PORT = 10_100;
const PORT_COUNT = 20_000;

/** Makes processes that search at the same time start at different ports. */
const OFFSET_PER_PROCESS = 613;

let nextOffset = (process.pid * OFFSET_PER_PROCESS) % PORT_COUNT;

/** Returns addresses that nothing listens on, rotating through the range. */
export async function freeAddresses(count: number): Promise<readonly string[]> {
  const addresses: string[] = [];
  while (addresses.length < count) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if (await isFree(port)) {
      addresses.push(`${LOOPBACK}:${port}`);
    }
  }
  return addresses;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
  });
}
