// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The lockpin quarantine command, against the API of a node. */

import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {EXIT_CODES, run} from '@lockpin/cli';
import type {ExitCode} from '@lockpin/cli';
import {createQuarantineApi, startHttpServer} from '@lockpin/node';
import {saltedHash} from '@lockpin/utils';

const SALT = 'ffeeddccbbaa99887766554433221100';
const SECRET = 'open-sesame';
const HOUR_MILLISECONDS = 3_600_000;

let server: Server;
let digests: string[];
let output: string;

beforeEach(async () => {
  digests = ['first', 'second'];
  output = '';
  server = await startHttpServer(
    '127.0.0.1:0',
    createQuarantineApi({
      tokenHash: `${SALT}:${saltedHash(SALT, SECRET)}`,
      version: () => 7,
      quarantinedRequests: () =>
        digests.map((digest) => ({
          digest,
          services: ['shop'],
          crashes: 3,
          survived: 0,
          boxes: ['box-1', 'box-2'],
          since: 0,
          until: HOUR_MILLISECONDS,
        })),
      lift: (digest) => {
        digests = digests.filter((other) => other !== digest);
      },
    }),
  );
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

function quarantine(
  args: readonly string[],
  token = `bootstrap.${SECRET}`,
): Promise<ExitCode> {
  const {port} = server.address() as AddressInfo;
  const append = (text: string): void => {
    output += text;
  };
  const commonOptions = [`--node=127.0.0.1:${port}`, `--token=${token}`];
  const terminal = {out: append, err: append};
  return run(['quarantine', ...args, ...commonOptions], terminal);
}

describe('lockpin quarantine', () => {
  it('lists quarantined requests with their services, boxes and times', async () => {
    expect(await quarantine(['list'])).toBe(EXIT_CODES.success);
    expect(output.split('\n').map((line) => line.split(/\s{2,}/))).toEqual([
      ['DIGEST', 'SERVICES', 'CRASHES', 'BOXES', 'SINCE', 'UNTIL'],
      ...digests.map((digest) => [
        digest,
        'shop',
        '3',
        'box-1 box-2',
        '1970-01-01T00:00:00.000Z',
        '1970-01-01T01:00:00.000Z',
      ]),
      [''],
    ]);
  });

  it('lifts a quarantine, and reports one that does not exist', async () => {
    expect(await quarantine(['lift', 'first'])).toBe(EXIT_CODES.success);
    expect(digests).toEqual(['second']);
    expect(await quarantine(['lift', 'first'])).toBe(EXIT_CODES.notFound);
  });

  it('requires a valid token and a subcommand', async () => {
    const token = 'bootstrap.guessed';
    expect(await quarantine(['list'], token)).toBe(EXIT_CODES.denied);
    expect(await quarantine(['lift', 'first'], token)).toBe(EXIT_CODES.denied);
    expect(await quarantine([])).toBe(EXIT_CODES.usage);
    expect(digests).toEqual(['first', 'second']);
  });
});
