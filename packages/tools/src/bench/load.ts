// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Load generator process: closed loop, or open loop at a fixed rate. */

import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';

/** The load to generate. */
export interface LoadTask {
  readonly address: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly seconds: number;
  readonly connections: number;
  /** Requests per second; 0 selects the closed loop. */
  readonly rate: number;
}

/** Measured counts and latencies; percentiles in microseconds. */
export interface LoadResult {
  readonly requests: number;
  readonly failures: number;
  readonly seconds: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}

const TICK_MILLISECONDS = 1;

class LoadGenerator {
  private readonly histogram: Histogram = build({
    numberOfSignificantValueDigits: 3,
  });
  private readonly pool: Pool;
  private failures = 0;

  constructor(private readonly task: LoadTask) {
    this.pool = new Pool(`http://${task.address}`, {
      connections: task.connections,
      pipelining: 1,
    });
  }

  async run(): Promise<LoadResult> {
    const startedAt = performance.now();
    const end = startedAt + this.task.seconds * 1000;
    if (this.task.rate === 0) {
      await this.closedLoop(end);
    } else {
      await this.openLoop(startedAt, end);
    }
    const seconds = (performance.now() - startedAt) / 1000;
    await this.pool.close();
    const at = (percentile: number): number =>
      this.histogram.getValueAtPercentile(percentile);
    return {
      requests: this.histogram.totalCount,
      failures: this.failures,
      seconds,
      p50: at(50),
      p99: at(99),
      p999: at(99.9),
    };
  }

  private async closedLoop(end: number): Promise<void> {
    await Promise.all(
      Array.from({length: this.task.connections}, async () => {
        while (performance.now() < end) {
          await this.send(performance.now());
        }
      }),
    );
  }

  /** Sends requests on schedule, whether or not earlier ones have ended. */
  private async openLoop(startedAt: number, end: number): Promise<void> {
    const intervalMilliseconds = 1000 / this.task.rate;
    const pending = new Set<Promise<void>>();
    let due = startedAt;
    while (due < end) {
      await new Promise((resolve) => setTimeout(resolve, TICK_MILLISECONDS));
      while (due <= performance.now() && due < end) {
        const sent = this.send(performance.now());
        pending.add(sent);
        void sent.then(() => pending.delete(sent));
        due += intervalMilliseconds;
      }
    }
    await Promise.all(pending);
  }

  private async send(sentAt: number): Promise<void> {
    try {
      const {statusCode, body} = await this.pool.request({
        method: 'GET',
        path: '/readings/7',
        headers: this.task.headers,
      });
      await body.dump();
      this.failures += statusCode === 200 ? 0 : 1;
    } catch {
      this.failures += 1;
    }
    const microseconds = Math.round((performance.now() - sentAt) * 1000);
    this.histogram.recordValue(Math.max(1, microseconds));
  }
}

process.on('message', (task: LoadTask) => {
  void new LoadGenerator(task).run().then((result) => process.send?.(result));
});
process.send?.('ready');
