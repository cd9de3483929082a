// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Measures what slow readers do to a node and to other calls: one node process
 * with its upstream, ordinary calls, and readers of long answers beside them.
 */

import {readFileSync} from 'node:fs';
import {Agent, request as httpRequest} from 'node:http';
import type {IncomingMessage} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {answerBody, requestHeaders} from '@lockpin/platform-stand-ins';
import {parseAddress, seededRandom} from '@lockpin/utils';
import {deployedFlags} from '../harness/deployedFlags.js';
import {freeAddresses} from '../harness/ports.js';
import {waitUntil} from '../harness/waitUntil.js';
import {NODE_BUNDLE} from './boxProcess.js';
import {SOAK_BOUNDS} from './runSoak.js';
import {SoakBox} from './soakBox.js';
import {sendRequest} from './soakCaller.js';
import {SOAK_HOST} from './soakConfiguration.js';
import {SoakStore} from './soakStore.js';

/** The readers and the ordinary calls beside them. */
export interface SlowReaderLoad {
  readonly readers: number;
  readonly bytes: number;
  readonly bytesPerSecond: number;
  /** How long ordinary calls are sent, before the readers and beside them. */
  readonly milliseconds: number;
  readonly callsPerSecond: number;
  readonly memoryMegabytes: number;
  /** Mechanisms that the node does without. */
  readonly switchedOff: string;
}

/** Latencies of the ordinary calls of one phase. */
export interface PhaseResult {
  readonly calls: number;
  readonly served: number;
  readonly medianMilliseconds: number;
  readonly p99Milliseconds: number;
}

/** What was measured. */
export interface SlowReaderResult {
  readonly before: PhaseResult;
  readonly beside: PhaseResult;
  /** Largest resident memory of the node so far. */
  readonly peakMegabytes: number;
  readonly cutOffByUpstream: number;
  readonly ends: Readonly<Record<ReaderEnd, number>>;
}

/** How a reader fared until the end of the measurement. */
export type ReaderEnd =
  | 'reading'
  | 'complete'
  | 'interrupted'
  | 'refused'
  /** The answer looked complete and was not; must never happen. */
  | 'truncated';

/** As on the platform. */
const NODE_COMMAND = [...deployedFlags(), NODE_BUNDLE];

const TIME_LIMIT_MILLISECONDS = 1200;

const READS_PER_SECOND = 10;

/** Runs the measurement; nodes and logs use the given folder. */
export async function measureSlowReaders(
  load: SlowReaderLoad,
  folder: string,
): Promise<SlowReaderResult> {
  const store = new SoakStore(() => undefined);
  const box = await startBox(load, folder, await store.start());
  const agent = new Agent({keepAlive: true});
  try {
    await waitUntil(async () => (await ordinaryCall(box, agent, 0)) >= 0);
    const before = await runPhase(box, agent, load);
    const readers = Array.from(
      {length: load.readers},
      (_, i) => new SlowReader(box.callerAddress, `r${i}-${load.bytes}b`, load),
    );
    for (const reader of readers) {
      await reader.start();
    }
    const beside = await runPhase(box, agent, load);
    const ends = {
      reading: 0,
      complete: 0,
      interrupted: 0,
      refused: 0,
      truncated: 0,
    };
    readers.forEach(({end}) => (ends[end] += 1));
    const peakMegabytes = peakMemory(box.process.pid ?? 0);
    readers.forEach((reader) => reader.stop());
    const cutOffByUpstream = box.upstreams.current?.standIn.cutOff ?? 0;
    return {before, beside, peakMegabytes, cutOffByUpstream, ends};
  } finally {
    agent.destroy();
    await box.end();
    store.stop();
  }
}

async function startBox(
  {memoryMegabytes, switchedOff}: SlowReaderLoad,
  folder: string,
  storeAddress: string,
): Promise<SoakBox> {
  const [caller = '', peer = '', readiness = '', announcements = ''] =
    await freeAddresses(4);
  const box = new SoakBox({
    index: 0,
    addresses: {caller, peer, readiness, announcements},
    storeAddress,
    folder,
    random: seededRandom(1),
    bounds: SOAK_BOUNDS,
    memoryMegabytes,
    environment: {LOCKPIN_SWITCHED_OFF: switchedOff},
    command: NODE_COMMAND,
    onDrained: () => undefined,
    onUnexpectedExit: () => undefined,
  });
  await box.start();
  return box;
}

/** Sends ordinary calls at a constant rate. */
async function runPhase(
  box: SoakBox,
  agent: Agent,
  {milliseconds, callsPerSecond}: SlowReaderLoad,
): Promise<PhaseResult> {
  const calls: Promise<number>[] = [];
  const end = Date.now() + milliseconds;
  while (Date.now() < end) {
    calls.push(ordinaryCall(box, agent, Date.now() * 1000 + calls.length));
    await pause(1000 / callsPerSecond);
  }
  const results = await Promise.all(calls);
  const served = results.filter((time) => time >= 0).sort((a, b) => a - b);
  const quantile = (share: number): number =>
    served[Math.floor(share * (served.length - 1))] ?? Number.NaN;
  return {
    calls: results.length,
    served: served.length,
    medianMilliseconds: quantile(0.5),
    p99Milliseconds: quantile(0.99),
  };
}

/** Resolves to the duration in milliseconds; -1 when it was not served. */
async function ordinaryCall(
  {callerAddress}: SoakBox,
  agent: Agent,
  number: number,
): Promise<number> {
  const sentAt = performance.now();
  const requestId = `o${number}`;
  const end = await sendRequest(agent, callerAddress, {
    path: `/shop/look/${requestId}`,
    method: 'GET',
    requestId,
    remaining: TIME_LIMIT_MILLISECONDS,
  });
  const isServed = end.kind === 'answered' && end.status === 200;
  return isServed ? performance.now() - sentAt : -1;
}

/** Largest resident memory of a process, in MB. */
function peakMemory(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+) kB/.exec(text)?.[1]) / 1024;
}

/** Reads an answer at a constant rate. */
class SlowReader {
  end: ReaderEnd = 'reading';
  private response: IncomingMessage | undefined;
  private timer: NodeJS.Timeout | undefined;
  private bytes = 0;

  constructor(
    private readonly address: string,
    private readonly requestId: string,
    private readonly load: SlowReaderLoad,
  ) {}

  /** Resolves when the answer has begun, or the call has failed. */
  start(): Promise<void> {
    const {requestId} = this;
    return new Promise((resolve) => {
      const request = httpRequest(
        {
          ...parseAddress(this.address),
          agent: false,
          path: `/shop/look/${requestId}`,
          headers: requestHeaders(
            SOAK_HOST,
            requestId,
            TIME_LIMIT_MILLISECONDS,
          ),
        },
        (response) => {
          this.begin(response);
          resolve();
        },
      );
      request.on('error', () => {
        this.finish('interrupted');
        resolve();
      });
      request.end();
    });
  }

  stop(): void {
    clearInterval(this.timer);
    this.response?.destroy();
  }

  private begin(response: IncomingMessage): void {
    if (response.statusCode !== 200) {
      response.resume();
      this.finish('refused');
      return;
    }
    this.response = response;
    const size = Math.ceil(this.load.bytesPerSecond / READS_PER_SECOND);
    this.timer = setInterval(() => {
      const chunk = (response.read(size) ?? response.read()) as Buffer | null;
      this.bytes += chunk?.length ?? 0;
    }, 1000 / READS_PER_SECOND);
    response.on('error', () => this.finish('interrupted'));
    response.on('end', () => {
      const isWhole = this.bytes === answerBody(this.requestId).length;
      this.finish(isWhole ? 'complete' : 'truncated');
    });
  }

  private finish(end: ReaderEnd): void {
    if (this.end === 'reading') {
      this.end = end;
    }
  }
}
