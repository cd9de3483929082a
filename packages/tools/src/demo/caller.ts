// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A caller that uses several nodes as the callers' guide prescribes. */

import {setTimeout as pause} from 'node:timers/promises';
import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';
import type {RandomSource} from '@lockpin/types';
import type {DeployedRoute} from '../harness/deployments.js';
import type {AttemptRecord, CallRecord, ReportedOutcome} from './callRecord.js';

/** A node known to a caller. */
export interface KnownNode {
  readonly box: string;
  readonly callerAddress: string;
}

/** One work item: a call of a route. */
export interface WorkItem {
  readonly id: string;
  readonly service: string;
  readonly route: DeployedRoute;
}

/** Maximum number of requests for one once-only work item. */
const MAXIMUM_ATTEMPTS = 6;

/** Pause before a once-only call is sent again, in milliseconds. */
const REPEAT_MILLISECONDS = 150;

/** Time that a caller waits beyond the route's limit before it gives up. */
const EXTRA_WAIT_MILLISECONDS = 3000;

/** Time for which an unreachable or leaving node is avoided. */
const AVOID_MILLISECONDS = 3000;

interface OnceKey {
  readonly text: string;
  readonly isFresh: boolean;
}

interface AttemptResult {
  readonly record: AttemptRecord;
  readonly freshKey: string | undefined;
}

/** Sends each call through a randomly chosen usable node. */
export class Caller {
  private readonly agent = new Agent({connections: 64, pipelining: 1});
  private readonly avoidUntil = new Map<string, number>();

  constructor(
    private readonly nodes: readonly KnownNode[],
    private readonly random: RandomSource,
  ) {}

  /** Runs one work item and records the reported outcomes. */
  async call(work: WorkItem): Promise<CallRecord> {
    const {id, route} = work;
    const attempts: AttemptRecord[] = [];
    if (route.repetition === 'repeatable') {
      const {record} = await this.send(work, id, this.pickNode(), undefined);
      attempts.push(record);
    } else {
      await this.callOnceOnly(work, attempts);
    }
    return {id, repetition: route.repetition, attempts};
  }

  close(): Promise<void> {
    return this.agent.destroy();
  }

  /** Reuses the key until the outcome is known; renews it after not-run. */
  private async callOnceOnly(
    work: WorkItem,
    attempts: AttemptRecord[],
  ): Promise<void> {
    let key = await this.mintKey(work);
    for (let i = 1; i <= MAXIMUM_ATTEMPTS; i += 1) {
      if (key === undefined) {
        return;
      }
      const requestId = `${work.id}.${i}`;
      const answer = await this.send(work, requestId, this.pickNode(), key);
      attempts.push(answer.record);
      if (answer.record.outcome === 'answered') {
        return;
      }
      await pause(REPEAT_MILLISECONDS);
      key = await this.nextKey(work, key, answer);
    }
  }

  private async nextKey(
    work: WorkItem,
    key: OnceKey,
    {record, freshKey}: AttemptResult,
  ): Promise<OnceKey | undefined> {
    if (record.outcome !== 'not-run') {
      return {text: key.text, isFresh: false};
    }
    return freshKey === undefined
      ? this.mintKey(work)
      : {text: freshKey, isFresh: true};
  }

  private async mintKey({service}: WorkItem): Promise<OnceKey | undefined> {
    for (let i = 0; i < MAXIMUM_ATTEMPTS; i += 1) {
      const node = this.pickNode();
      try {
        const {body} = await request(
          `http://${node.callerAddress}/.lockpin/once-keys`,
          {
            method: 'POST',
            headers: {'lockpin-service': service},
            dispatcher: this.agent,
            signal: AbortSignal.timeout(EXTRA_WAIT_MILLISECONDS),
          },
        );
        const {keys} = (await body.json()) as {
          readonly keys?: readonly string[];
        };
        const [text] = keys ?? [];
        if (text !== undefined) {
          return {text, isFresh: true};
        }
      } catch {
        this.avoid(node);
      }
    }
    return undefined;
  }

  private async send(
    {service, route}: WorkItem,
    requestId: string,
    node: KnownNode,
    key: OnceKey | undefined,
  ): Promise<AttemptResult> {
    const startedAt = Date.now();
    const start = performance.now();
    const base = {requestId, box: node.box, startedAt};
    try {
      const answer = await request(
        `http://${node.callerAddress}${route.path}`,
        {
          method: route.method,
          headers: callHeaders(service, requestId, key),
          body:
            route.method === 'POST'
              ? `{"work":"${requestId.split('.')[0]}"}`
              : null,
          dispatcher: this.agent,
          signal: AbortSignal.timeout(
            route.waitMilliseconds + EXTRA_WAIT_MILLISECONDS,
          ),
        },
      );
      const text = await answer.body.text();
      const reported = readAnswer(
        answer,
        text,
        requestId,
        performance.now() - start,
      );
      if (reported.reason === 'node-leaving') {
        this.avoid(node);
      }
      const fresh = answer.headers['lockpin-fresh-once-key'];
      return {
        record: {...base, ...reported},
        freshKey: typeof fresh === 'string' ? fresh : undefined,
      };
    } catch (error) {
      this.avoid(node);
      return {record: {...base, ...failedAttempt(error)}, freshKey: undefined};
    }
  }

  private pickNode(): KnownNode {
    const now = Date.now();
    const usable = this.nodes.filter(
      ({box}) => (this.avoidUntil.get(box) ?? 0) <= now,
    );
    const candidates = usable.length > 0 ? usable : this.nodes;
    return candidates[
      Math.floor(this.random() * candidates.length)
    ] as KnownNode;
  }

  private avoid(node: KnownNode): void {
    this.avoidUntil.set(node.box, Date.now() + AVOID_MILLISECONDS);
  }
}

function callHeaders(
  service: string,
  requestId: string,
  key: OnceKey | undefined,
): Record<string, string> {
  return {
    'lockpin-service': service,
    'x-request-id': requestId,
    ...(key === undefined ? {} : {'lockpin-once-key': key.text}),
    ...(key?.isFresh ? {'lockpin-once-attempt': 'first'} : {}),
  };
}

function readAnswer(
  answer: Dispatcher.ResponseData,
  text: string,
  requestId: string,
  milliseconds: number,
) {
  const outcome = String(
    answer.headers['lockpin-outcome'] ?? 'unknown',
  ) as ReportedOutcome;
  const body = JSON.parse(text) as {
    readonly requestId?: string;
    readonly tookMilliseconds?: number;
  };
  // A repeated key is answered with the result of the attempt that ran.
  const isOwn =
    body.requestId === undefined ||
    body.requestId.split('.')[0] === requestId.split('.')[0];
  const isFromThisAttempt = body.requestId === requestId;
  return {
    outcome,
    reason: String(answer.headers['lockpin-reason'] ?? ''),
    status: answer.statusCode,
    isCrossed: outcome === 'answered' && !isOwn,
    addedMilliseconds:
      isFromThisAttempt && body.tookMilliseconds !== undefined
        ? milliseconds - body.tookMilliseconds
        : undefined,
  };
}

/** A refused connection sent nothing; any other failure may have. */
function failedAttempt(error: unknown) {
  const {code = ''} = error as {readonly code?: string};
  return {
    outcome: code === 'ECONNREFUSED' ? ('not-run' as const) : ('cut' as const),
    reason: code === 'ECONNREFUSED' ? 'node-gone' : 'connection-broke',
    status: 0,
    isCrossed: false,
    addedMilliseconds: undefined,
  };
}
