// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A stand-in for the platform's append-only log service. */

import type {Server} from 'node:http';
import {App} from '@tinyhttp/app';
import {listen, readBody, sendJson} from './http.js';

/** How the stand-in log behaves; each switch can be turned while it runs. */
export interface LogSwitches {
  /** Answers nothing at all. */
  readonly away: boolean;
  /** Milliseconds that every answer is held back. */
  readonly slowMilliseconds: number;
  /** Appends take effect but their answer is cut off. */
  readonly loseConfirmations: boolean;
  /** Records of a stream that are kept. */
  readonly retainedRecords: number;
  /** Appends a second, over all streams, above which it answers 429. */
  readonly appendsPerSecond: number;
}

/** The log as a healthy platform has it. */
export const DEFAULT_LOG_SWITCHES: LogSwitches = {
  away: false,
  slowMilliseconds: 0,
  loseConfirmations: false,
  retainedRecords: 1_000_000,
  appendsPerSecond: 300,
};

const LARGEST_WAIT_MILLISECONDS = 30_000;
const LARGEST_READ = 1000;

interface Stream {
  first: number;
  readonly records: unknown[];
  /** When each of them came, in milliseconds since 1970. */
  readonly times: number[];
  readonly waiting: Set<() => void>;
}

/** An append-only log over HTTP, kept in memory. */
export class LogService {
  switches: LogSwitches = DEFAULT_LOG_SWITCHES;
  /** Appends and reads served, for measurements. */
  readonly counts = {appends: 0, reads: 0, refused: 0};
  private readonly streams = new Map<string, Stream>();
  private server: Server | undefined;
  /** Told with each answer; rises with each restore. */
  private era = 1;
  private appendSecond = 0;
  private appendsThisSecond = 0;

  /** Starts listening; returns the address. */
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

  /** Changes some of the switches. */
  turn(switches: Partial<LogSwitches>): void {
    this.switches = {...this.switches, ...switches};
    if (this.switches.away) {
      this.server?.closeAllConnections();
    }
    for (const stream of this.streams.values()) {
      this.trim(stream);
    }
  }

  /** Comes back as it was some time ago, in a new era; reads that wait go on waiting. */
  restore(lostMilliseconds: number): void {
    const until = Date.now() - lostMilliseconds;
    for (const {records, times} of this.streams.values()) {
      const kept = times.filter((at) => at <= until).length;
      records.splice(kept);
      times.splice(kept);
    }
    this.era += 1;
  }

  /** Records of a stream that are still kept, for tests. */
  records(name: string): readonly unknown[] {
    return this.stream(name).records;
  }

  /** Appends without HTTP, for seeding and tests. */
  appendDirectly(name: string, value: unknown): number {
    const stream = this.stream(name);
    stream.records.push(value);
    stream.times.push(Date.now());
    const offset = stream.first + stream.records.length - 1;
    this.trim(stream);
    stream.waiting.forEach((wake) => wake());
    return offset;
  }

  stop(): void {
    this.server?.closeAllConnections();
    this.server?.close();
  }

  private stream(name: string): Stream {
    const found = this.streams.get(name);
    if (found !== undefined) {
      return found;
    }
    const made: Stream = {
      first: 0,
      records: [],
      times: [],
      waiting: new Set(),
    };
    this.streams.set(name, made);
    return made;
  }

  private trim(stream: Stream): void {
    const excess = stream.records.length - this.switches.retainedRecords;
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
    if (await this.unavailable(response)) {
      return;
    }
    if (this.overAppendRate()) {
      this.counts.refused += 1;
      sendJson(response, 429, {retryAfterMilliseconds: 200});
      return;
    }
    this.counts.appends += 1;
    const offset = this.appendDirectly(name, JSON.parse(body.toString('utf8')));
    if (this.switches.loseConfirmations) {
      response.destroy();
      return;
    }
    sendJson(response, 201, {era: this.era, offset});
  }

  private overAppendRate(): boolean {
    const second = Math.floor(Date.now() / 1000);
    if (second !== this.appendSecond) {
      this.appendSecond = second;
      this.appendsThisSecond = 0;
    }
    this.appendsThisSecond += 1;
    return this.appendsThisSecond > this.switches.appendsPerSecond;
  }

  private async read(
    name: string,
    query: URLSearchParams,
    response: Parameters<typeof sendJson>[0],
  ): Promise<void> {
    if (await this.unavailable(response)) {
      return;
    }
    this.counts.reads += 1;
    const from = Number(query.get('from') ?? 0);
    const wait = Math.min(
      Number(query.get('wait') ?? 0),
      LARGEST_WAIT_MILLISECONDS,
    );
    const stream = this.stream(name);
    if (from >= stream.first + stream.records.length && wait > 0) {
      await this.waitForRecord(stream, wait, response);
    }
    if (await this.unavailable(response)) {
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
      Number(query.get('limit') ?? LARGEST_READ),
      LARGEST_READ,
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

  private async unavailable(
    response: Parameters<typeof sendJson>[0],
  ): Promise<boolean> {
    if (this.switches.slowMilliseconds > 0) {
      await new Promise((resolve) =>
        setTimeout(resolve, this.switches.slowMilliseconds),
      );
    }
    if (this.switches.away || response.destroyed) {
      response.destroy();
      return true;
    }
    return false;
  }
}
