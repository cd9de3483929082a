// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Listening on addresses that cannot be had at once. */

import {createServer} from 'node:http';
import type {AddressInfo, Server} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {
  AddressListeners,
  LISTEN_REMINDER_MILLISECONDS,
  listenOn,
} from '../connection/addressListeners.js';
import type {ListenReport} from '../connection/addressListeners.js';
import type {ServerProblem} from '../connection/guardedRequests.js';
import {createHttpServer} from '../connection/httpServer.js';

const ADDRESS = '127.0.0.1:7000';
const GIVE_UP_MILLISECONDS = 60_000;

const servers: Server[] = [];

afterEach(() => servers.splice(0).forEach((server) => server.close()));

function errorWith(code: string): Error {
  return Object.assign(new Error(`listen ${code}`), {code});
}

/** Listeners whose clock moves on by a step with each attempt. */
function createListeners(step: number, giveUpMilliseconds?: number) {
  const reports: ListenReport[] = [];
  let now = 0;
  const listeners = new AddressListeners({
    clock: () => now,
    onReport: (report) => reports.push(report),
    ...(giveUpMilliseconds !== undefined && {giveUpMilliseconds}),
  });
  const listen = (codes: readonly string[]) => {
    const remaining = [...codes];
    return listeners.listen({
      purpose: 'callers',
      address: () => ADDRESS,
      listen: async () => {
        now += step;
        const code = remaining.shift();
        if (code !== undefined) {
          throw errorWith(code);
        }
      },
    });
  };
  return {listeners, reports, listen};
}

const kinds = (reports: readonly ListenReport[]) =>
  reports.map(({kind}) => kind);

describe('an address that cannot be had', () => {
  it.each(['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENOBUFS', ''])(
    'is tried again after %s, and both ends of the wait are reported',
    async (code) => {
      const {listeners, reports, listen} = createListeners(1);
      const listener = listen([code, code]);
      expect(listener.isListening).toBe(false);
      expect(await listener.ended).toEqual({kind: 'listening'});
      expect(listener.isListening).toBe(true);
      expect(listeners.waitingCount).toBe(0);
      expect(reports).toMatchObject([
        {kind: 'held', purpose: 'callers', address: ADDRESS, attempts: 1},
        {kind: 'free', purpose: 'callers', address: ADDRESS, attempts: 3},
      ]);
    },
  );

  it('is reported sometimes while it stays held', async () => {
    const {reports, listen} = createListeners(LISTEN_REMINDER_MILLISECONDS / 2);
    await listen(Array.from({length: 5}, () => 'EADDRINUSE')).ended;
    expect(kinds(reports)).toEqual(['held', 'held', 'held', 'free']);
  });

  it.each(['EACCES', 'EINVAL', 'EAFNOSUPPORT', 'ERR_INVALID_ADDRESS'])(
    'is not tried again after %s',
    async (code) => {
      const {listeners, reports, listen} = createListeners(1);
      expect(await listen([code]).ended).toMatchObject({kind: 'failed'});
      expect(kinds(reports)).toEqual(['unusable']);
      expect(listeners.waitingCount).toBe(1);
    },
  );

  it('is given up only if there is a limit', async () => {
    const codes = Array.from({length: 9}, () => 'EADDRINUSE');
    const limited = createListeners(
      GIVE_UP_MILLISECONDS / 2,
      GIVE_UP_MILLISECONDS,
    );
    expect(await limited.listen(codes).ended).toMatchObject({kind: 'failed'});
    expect(kinds(limited.reports).at(-1)).toBe('given-up');
    const patient = createListeners(GIVE_UP_MILLISECONDS);
    expect(await patient.listen(codes).ended).toEqual({kind: 'listening'});
  });

  it('does not keep another target waiting, and ends with a stop', async () => {
    const {listeners, listen} = createListeners(1);
    const held = listen(Array.from({length: 1000}, () => 'EADDRINUSE'));
    expect(await listen([]).ended).toEqual({kind: 'listening'});
    listeners.stop();
    expect(await held.ended).toEqual({kind: 'stopped'});
    expect(held.isListening).toBe(false);
  });
});

describe('a server', () => {
  async function startServer(): Promise<{server: Server; address: string}> {
    const server = createServer();
    servers.push(server);
    await listenOn(server, '127.0.0.1:0');
    const {port} = server.address() as AddressInfo;
    return {server, address: `127.0.0.1:${port}`};
  }

  it('listens with a later attempt after one that failed', async () => {
    const {server: holder, address} = await startServer();
    const server = createServer();
    servers.push(server);
    await expect(listenOn(server, address)).rejects.toThrow('EADDRINUSE');
    await new Promise((resolve) => holder.close(resolve));
    await listenOn(server, address);
    expect(server.listening).toBe(true);
  });

  it.each(['', 'nowhere:80', '127.0.0.1', '127.0.0.1:99999'])(
    'does not listen anywhere for the address %j',
    async (address) => {
      const server = createServer();
      await expect(listenOn(server, address)).rejects.toMatchObject({
        code: 'ERR_INVALID_ADDRESS',
      });
      expect(server.listening).toBe(false);
    },
  );

  // Guards against a process that ends since it has no file descriptor left.
  it('outlives an accept that fails', async () => {
    const problems: ServerProblem[] = [];
    const server = createHttpServer(() => undefined, {
      onProblem: (problem) => problems.push(problem),
    });
    servers.push(server);
    await listenOn(server, '127.0.0.1:0');
    server.emit('error', errorWith('EMFILE'));
    expect(problems).toHaveLength(1);
    expect(server.listening).toBe(true);
  });
});
