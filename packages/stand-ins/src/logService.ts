// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A stand-in for the platform's append-only log service. */

import type {Server} from 'node:http';
import {App} from '@tinyhttp/app';
import {listen, readBody, sendJson} from './http.js';

/** The behaviour of the stand-in log; can be changed while it runs. */
export interface LogBehaviour {
  /** Closes every connection without answering. */
  readonly isUnavailable: boolean;
  /** The delay of every answer, in milliseconds. */
  readonly slowMilliseconds: number;
  /** Appends take effect, but their connection is closed without an answer. */
  readonly loseConfirmations: boolean;
  /** The number of records retained in each stream. */
  readonly retainedRecords: number;
  /** Appends per second over all streams above which it answers 429. */
  readonly appendsPerSecond: number;
}

/** The behaviour of the log on a healthy platform. */
export const DEFAULT_LOG_BEHAVIOUR: LogBehaviour = {
  isUnavailable: false,
  slowMilliseconds: 0,
  loseConfirmations: false,
  retainedRecords: 1_000_000,
  appendsPerSecond: 300,
};

const MAXIMUM_WAIT_MILLISECONDS = 30_000;
const MAXIMUM_READ_RECORDS = 1000;

interface Stream {
  first: number;
  readonly records: unknown[];
  /** When each record was appended, in milliseconds since 1970. */
  readonly times: number[];
  readonly waiting: Set<() => void>;
}

/** An in-memory append-only log served over HTTP. */
export class LogService {
  behaviour: LogBehaviour = DEFAULT_LOG_BEHAVIOUR;
  /** Appends and reads served, and appends refused with 429. */
  readonly counts = {appends: 0, reads: 0, refused: 0};
  private readonly streams = new Map<string, Stream>();
  private server: Server | undefined;
  /** Sent with each answer; incremented by each restore. */
  private era = 1;
  private appendSecond = 0;
  private appendsThisSecond = 0;

  /** Starts the server; resolves to its address. */
  async start(host: string, port = 0): Promise<string> {
    const app = new App({
      noMatchHandler: (_, response) => void response.writeHead(404).end(),
    });
    app.get('/streams/:stream/records', (request, response) => {
      void this.read(
        request.params['stream'] ?? '',
        new URL(request.url, 'http://log').searchParams,
        response,
      );
    });
    app.post('/streams/:stream/records', async (request, response) => {
      const body = await readBody(request);
      await this.append(request.params['stream'] ?? '', body, response);
    });
    const {server, address} = await listen(app, host, port);
    this.server = server;
    return address;
  }

  /** Changes parts of the behaviour. */
  setBehaviour(changes: Partial<LogBehaviour>): void {
    this.behaviour = {...this.behaviour, ...changes};
    if (this.behaviour.isUnavailable) {
      this.server?.closeAllConnections();
    }
    for (const stream of this.streams.values()) {
      this.trim(stream);
    }
  }

  /**
   * Discards the records of the last milliseconds and starts a new era, as a
   * restore from a backup does. Waiting reads keep waiting.
   */
  restore(lostMilliseconds: number): void {
    const until = Date.now() - lostMilliseconds;
    for (const {records, times} of this.streams.values()) {
      const kept = times.filter((at) => at <= until).length;
      records.splice(kept);
      times.splice(kept);
    }
    this.era += 1;
  }

  /** The retained records of a stream, for tests. */
  records(name: string): readonly unknown[] {
    return this.stream(name).records;
  }

  /** Appends a record without HTTP, for seeding and tests. */
  appendDirectly(name: string, value: unknown): number {
    const stream = this.stream(name);
    stream.records.push(value);
    stream.times.push(Date.now());
    const offset = stream.first + stream.records.length - 1;
    this.trim(stream);
    stream.waiting.forEach((resume) => resume());
    return offset;
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private stream(name: string): Stream {
    const existing = this.streams.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const created: Stream = {
      first: 0,
      records: [],
      times: [],
      waiting: new Set(),
    };
    this.streams.set(name, created);
    return created;
  }

  private trim(stream: Stream): void {
    const excess = stream.records.length - this.behaviour.retainedRecords;
    if (excess > 0) {
      stream.records.splice(0, excess);
      stream.times.splice(0, excess);
      stream.first += excess;
    }
  }

  private async append(
    name: string,
    body: Buffer,
    response: Parameters<typeof sendJson>[0],
  ): Promise<void> {
    if (await this.closeIfUnavailable(response)) {
      return;
    }
    if (this.exceedsAppendRate()) {
      this.counts.refused += 1;
      sendJson(response, 429, {retryAfterMilliseconds: 200});
      return;
    }
    this.counts.appends += 1;
    const offset = this.appendDirectly(name, JSON.parse(body.toString('utf8')));
    if (this.behaviour.loseConfirmations) {
      response.destroy();
      return;
    }
    sendJson(response, 201, {era: this.era, offset});
  }

  private exceedsAppendRate(): boolean {
    const second = Math.floor(Date.now() / 1000);
    if (second !== this.appendSecond) {
      this.appendSecond = second;
      this.appendsThisSecond = 0;
    }
    this.appendsThisSecond += 1;
    return this.appendsThisSecond > this.behaviour.appendsPerSecond;
  }

  private async read(
    name: string,
    query: URLSearchParams,
    response: Parameters<typeof sendJson>[0],
  ): Promise<void> {
    if (await this.closeIfUnavailable(response)) {
      return;
    }
    this.counts.reads += 1;
    const from = Number(query.get('from') ?? 0);
    const wait = Math.min(
      Number(query.get('wait') ?? 0),
      MAXIMUM_WAIT_MILLISECONDS,
    );
    const stream = this.stream(name);
    if (from >= stream.first + stream.records.length && wait > 0) {
      await this.waitForRecord(stream, wait, response);
    }
    if (await this.closeIfUnavailable(response)) {
      return;
    }
    const {era} = this;
    const {first} = stream;
    const next = first + stream.records.length;
    if (from < first) {
      sendJson(response, 410, {era, first, next});
      return;
    }
    const limit = Math.min(
      Number(query.get('limit') ?? MAXIMUM_READ_RECORDS),
      MAXIMUM_READ_RECORDS,
    );
    const start = from - first;
    const records = stream.records
      .slice(start, start + limit)
      .map((value, i) => ({offset: from + i, value}));
    sendJson(response, 200, {era, first, next, records});
  }

  private async waitForRecord(
    stream: Stream,
    wait: number,
    response: Parameters<typeof sendJson>[0],
  ): Promise<void> {
    await new Promise<void>((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        stream.waiting.delete(done);
        resolve();
      };
      const timer = setTimeout(done, wait);
      stream.waiting.add(done);
      response.on('close', done);
    });
  }

  private async closeIfUnavailable(
    response: Parameters<typeof sendJson>[0],
  ): Promise<boolean> {
    if (this.behaviour.slowMilliseconds > 0) {
      await new Promise((resolve) =>
        setTimeout(resolve, this.behaviour.slowMilliseconds),
      );
    }
    if (this.behaviour.isUnavailable || response.destroyed) {
      response.destroy();
      return true;
    }
    return false;
  }
}
