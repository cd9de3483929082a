// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The platform's log service over HTTP. */

import type {AppendResult, LogReadResult, StreamName} from '@lockpin/brain';
import type {Era, LogRecord} from '@lockpin/types';
import {Pool} from 'undici';
import type {ControlTraffic} from '../process/controlTraffic.js';

const READ_LIMIT = 500;
const ANSWER_MARGIN_MILLISECONDS = 3000;
const APPEND_TIMEOUT_MILLISECONDS = 5000;

/** A poll of each stream, and of two anew while those before the restore still wait. */
const READ_CONNECTIONS = 6;

/** Apart from reads: an append must not wait until a poll has ended. */
const APPEND_CONNECTIONS = 2;

/** Errors after which the log certainly has not seen the request. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface ReadAnswer {
  readonly era?: unknown;
  readonly first: number;
  readonly next: number;
  readonly records: readonly LogRecord<unknown>[];
}

interface AppendAnswer {
  readonly era?: unknown;
  readonly offset: number;
}

/** A log that does not tell its era was never restored. */
const NEVER_RESTORED: Era = 0;

/** Undefined for an era that is none: nothing can be concluded from its answer. */
function eraOf({
  era = NEVER_RESTORED,
}: {
  readonly era?: unknown;
}): Era | undefined {
  return Number.isSafeInteger(era) && (era as Era) >= 0
    ? (era as Era)
    : undefined;
}

/** Appends to and reads from streams; every failure is a typed result. */
export class LogClient {
  private readonly reads: Pool;
  private readonly appends: Pool;

  constructor(
    address: string,
    private readonly traffic: ControlTraffic,
  ) {
    const options = {pipelining: 1, connectTimeout: 2000};
    const origin = `http://${address}`;
    this.reads = new Pool(origin, {...options, connections: READ_CONNECTIONS});
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
          waitMilliseconds + ANSWER_MARGIN_MILLISECONDS,
        ),
      });
      const text = await body.text();
      this.traffic.received('log', text.length);
      const answer = JSON.parse(text) as ReadAnswer;
      const era = eraOf(answer);
      if (era === undefined) {
        return {kind: 'unreachable'};
      }
      const {first, next, records} = answer;
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
        const answer = (await body.json()) as AppendAnswer;
        const era = eraOf(answer);
        return era === undefined
          ? {kind: 'unknown'}
          : {kind: 'confirmed', era, offset: answer.offset};
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

/** The code of a network error, or nothing. */
export function errorCode(error: unknown): string {
  return (error as {readonly code?: string} | undefined)?.code ?? '';
}
