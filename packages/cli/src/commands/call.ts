// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** lockpin call: sends one request and shows its outcome and upstream. */

import {readFile} from 'node:fs/promises';
import {request} from 'undici';
import type {Dispatcher} from 'undici';
import type {CommandContext} from '../commandContext.js';
import {EXIT_CODES} from '../exitCodes.js';
import type {ExitCode} from '../exitCodes.js';

/** Options of the command. */
export interface CallOptions {
  /** IP:port at which a node accepts calls. */
  readonly entry: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly data: string | undefined;
  readonly once: boolean;
  readonly key: string | undefined;
}

/** Sends the request; with --once, obtains a once key first. */
export async function call(
  context: CommandContext,
  options: CallOptions,
): Promise<ExitCode> {
  try {
    return await send(context, options, await keyHeaders(options));
  } catch {
    const address = options.entry;
    return context.fail({kind: 'node-unreachable', address});
  }
}

async function keyHeaders(
  options: CallOptions,
): Promise<Record<string, string>> {
  const {entry, service, once, key} = options;
  if (key !== undefined) {
    return {'lockpin-once-key': key};
  }
  if (!once) {
    return {};
  }
  const {body} = await request(`http://${entry}/.lockpin/once-keys`, {
    method: 'POST',
    headers: {'lockpin-service': service},
  });
  const {keys} = (await body.json()) as {readonly keys?: readonly string[]};
  const [issuedKey] = keys ?? [];
  return issuedKey === undefined
    ? {}
    : {'lockpin-once-key': issuedKey, 'lockpin-once-attempt': 'first'};
}

async function send(
  context: CommandContext,
  options: CallOptions,
  headers: Record<string, string>,
): Promise<ExitCode> {
  const startedAt = performance.now();
  const answer = await request(`http://${options.entry}${options.path}`, {
    method: options.method as Dispatcher.HttpMethod,
    headers: {'lockpin-service': options.service, ...headers},
    body: await readBody(options.data),
  });
  const body = await answer.body.text();
  const milliseconds = Math.round((performance.now() - startedAt) * 10) / 10;
  const outcome = String(answer.headers['lockpin-outcome'] ?? 'unknown');
  const shown = {
    status: answer.statusCode,
    outcome,
    reason: String(answer.headers['lockpin-reason'] ?? ''),
    upstream: String(answer.headers['lockpin-upstream'] ?? ''),
    milliseconds,
  };
  context.show({...shown, key: headers['lockpin-once-key'], body}, [shown]);
  if (context.format === 'table') {
    context.terminal.out(`${body}\n`);
  }
  return outcome === 'answered' ? EXIT_CODES.success : EXIT_CODES.failed;
}

async function readBody(data: string | undefined): Promise<string | null> {
  if (data === undefined) {
    return null;
  }
  return data.startsWith('@') ? readFile(data.slice(1), 'utf8') : data;
}
