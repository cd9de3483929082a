// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Filters the headers that pass through a node. */

import type {FlatHeaders} from './frames.js';

/** Call headers that are hop-by-hop, or that lockpin sets itself. */
const DROPPED_CALL_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
  'lockpin-deadline',
  'lockpin-timeout-milliseconds',
  'lockpin-credential',
  'lockpin-retry',
  'lockpin-parent',
]);

/** Answer headers that are hop-by-hop. */
const DROPPED_ANSWER_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** The headers of a call that are passed to the upstream. */
export function callHeaders(raw: readonly string[]): string[] {
  return without(raw, withConnectionHeaders(raw, DROPPED_CALL_HEADERS));
}

/** The headers of an answer that are passed to the caller. */
export function answerHeaders(raw: readonly string[]): string[] {
  return without(raw, withConnectionHeaders(raw, DROPPED_ANSWER_HEADERS));
}

/** Adds the headers that the sender's Connection header lists as hop-by-hop. */
function withConnectionHeaders(
  raw: FlatHeaders,
  dropped: ReadonlySet<string>,
): ReadonlySet<string> {
  const named: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    if (raw[i]?.toLowerCase() === 'connection') {
      named.push(...(raw[i + 1] ?? '').toLowerCase().split(','));
    }
  }
  const extra = named
    .map((name) => name.trim())
    .filter((name) => !dropped.has(name) && name !== '' && name !== 'close');
  return extra.length === 0 ? dropped : new Set([...dropped, ...extra]);
}

function without(raw: FlatHeaders, dropped: ReadonlySet<string>): string[] {
  const kept: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) {
    const name = raw[i] as string;
    if (!dropped.has(name.toLowerCase())) {
      kept.push(name, raw[i + 1] as string);
    }
  }
  return kept;
}

/** Converts a flat list to a record; the last of equal names wins. */
export function headerRecord(headers: FlatHeaders): Record<string, string> {
  const record: Record<string, string> = {};
  for (let i = 0; i + 1 < headers.length; i += 2) {
    record[(headers[i] as string).toLowerCase()] = headers[i + 1] as string;
  }
  return record;
}
