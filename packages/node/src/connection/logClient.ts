// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** HTTP client of the platform's log service. */

import type {AppendResult, LogReadResult, StreamName} from '@lockpin/brain';
import type {Era, LogRecord} from '@lockpin/types';
import {Pool} from 'undici';
import type {ControlTraffic} from '../process/controlTraffic.js';

const READ_LIMIT = 500;
const READ_TIMEOUT_MARGIN_MILLISECONDS = 3000;
const APPEND_TIMEOUT_MILLISECONDS = 5000;

/**
 * One long poll for each stream, and two more for streams that are read again
 * after a restore while their earlier polls are still pending.
 */
const READ_CONNECTIONS = 6;

/**
 * Idle connections are closed before a read times out, so that the next read
 * does not use one that went silent at the same time.
 */
const IDLE_READ_CONNECTION_MILLISECONDS = 2000;

/** Separate from reads, so that appends do not wait for long polls to end. */
const APPEND_CONNECTIONS = 2;

/** A longer answer has no end: reads are limited to some hundred records. */
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

/** Errors after which the log certainly has not received the request. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface ReadResponse {
  readonly era?: unknown;
  readonly first: number;
  readonly next: number;
  readonly records: readonly LogRecord<unknown>[];
}

interface AppendResponse {
  readonly era?: unknown;
  readonly offset: number;
}

/** A log that does not report its era was never restored. */
const NEVER_RESTORED: Era = 0;

/**
 * Returns undefined for an invalid era; such a response cannot be interpreted.
 */
function parseEra({
  era = NEVER_RESTORED,
}: {
  readonly era?: unknown;
}): Era | undefined {
  return Number.isSafeInteger(era) && (era as Era) >= 0
    ? (era as Era)
    : undefined;
}

/**
 * Appends to and reads from streams; every failure is reported as a typed
 * result.
 */
export class LogClient {
  private readonly reads: Pool;
  private readonly appends: Pool;

  constructor(
    address: string,
    private readonly traffic: ControlTraffic,
  ) {
    const options = {
      pipelining: 1,
      connectTimeout: 2000,
      maxResponseSize: MAXIMUM_ANSWER_BYTES,
    };
    const origin = `http://${address}`;
    this.reads = new Pool(origin, {
      ...options,
      connections: READ_CONNECTIONS,
      keepAliveTimeout: IDLE_READ_CONNECTION_MILLISECONDS,
      keepAliveMaxTimeout: IDLE_READ_CONNECTION_MILLISECONDS,
    });
    this.appends = new Pool(origin, {
      ...options,
      connections: APPEND_CONNECTIONS,
    });
  }

  async read(
    stream: StreamName,
    from: number,
    waitMilliseconds: number,
  ): Promise<LogReadResult> {
    this.traffic.sent('log', 0);
    const query = `from=${from}&limit=${READ_LIMIT}&wait=${waitMilliseconds}`;
    try {
      const {statusCode, body} = await this.reads.request({
        method: 'GET',
        path: `/streams/${stream}/records?${query}`,
        signal: AbortSignal.timeout(
          waitMilliseconds + READ_TIMEOUT_MARGIN_MILLISECONDS,
        ),
      });
      const text = await body.text();
      this.traffic.received('log', text.length);
      const response = JSON.parse(text) as ReadResponse;
      const era = parseEra(response);
      if (era === undefined) {
        return {kind: 'unreachable'};
      }
      const {first, next, records} = response;
      if (statusCode === 410) {
        return {kind: 'expired', era, first, next};
      }
      return statusCode === 200
        ? {kind: 'records', era, first, next, records}
        : {kind: 'unreachable'};
    } catch {
      return {kind: 'unreachable'};
    }
  }

  async append(stream: StreamName, value: unknown): Promise<AppendResult> {
    const content = JSON.stringify(value);
    this.traffic.sent('log', content.length);
    try {
      const {statusCode, body} = await this.appends.request({
        method: 'POST',
        path: `/streams/${stream}/records`,
        headers: {'content-type': 'application/json'},
        body: content,
        signal: AbortSignal.timeout(APPEND_TIMEOUT_MILLISECONDS),
      });
      if (statusCode === 201) {
        const response = (await body.json()) as AppendResponse;
        const era = parseEra(response);
        return era === undefined
          ? {kind: 'unknown'}
          : {kind: 'confirmed', era, offset: response.offset};
      }
      await body.dump();
      return statusCode === 429 ? {kind: 'not-appended'} : {kind: 'unknown'};
    } catch (error) {
      return NOT_SENT_CODES.has(errorCode(error))
        ? {kind: 'not-appended'}
        : {kind: 'unknown'};
    }
  }

  async close(): Promise<void> {
    await Promise.all([this.reads.destroy(), this.appends.destroy()]);
  }
}

/** Returns the code of a network error, or an empty text if it has none. */
export function errorCode(error: unknown): string {
  return (error as {readonly code?: string} | undefined)?.code ?? '';
}
