// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Mixed traffic from several callers at a constant mean rate. */

import type {RandomSource} from '@lockpin/types';
import type {DeployedRoute, Deployment} from '../harness/deployments.js';
import type {CallRecord} from './callRecord.js';
import {Caller} from './caller.js';
import type {KnownNode, WorkItem} from './caller.js';

interface WeightedRoute {
  readonly service: string;
  readonly route: DeployedRoute;
}

const TICK_MILLISECONDS = 5;

/** Drives callers until stopped, then waits for pending calls. */
export class Traffic {
  readonly records: CallRecord[] = [];
  private readonly callers: readonly Caller[];
  private readonly routes: readonly WeightedRoute[];
  private readonly pending = new Set<Promise<void>>();
  private timer: NodeJS.Timeout | undefined;
  private sequence = 0;
  private dueCalls = 0;

  constructor(
    deployment: Deployment,
    nodes: readonly KnownNode[],
    callers: number,
    private readonly callsPerSecond: number,
    private readonly random: RandomSource,
  ) {
    this.callers = Array.from(
      {length: callers},
      () => new Caller(nodes, random),
    );
    this.routes = deployment.services.flatMap(({name, routes}) =>
      routes.map((route) => ({
        service: `${deployment.customer}/${name}`,
        route,
      })),
    );
  }

  start(): void {
    let last = performance.now();
    this.timer = setInterval(() => {
      const now = performance.now();
      this.dueCalls += ((now - last) / 1000) * this.callsPerSecond;
      last = now;
      while (this.dueCalls >= 1) {
        this.dueCalls -= 1;
        this.startCall();
      }
    }, TICK_MILLISECONDS);
  }

  /** Starts no further calls; resolves when every call has ended. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.pending);
    await Promise.all(this.callers.map((caller) => caller.close()));
  }

  private startCall(): void {
    this.sequence += 1;
    const caller = this.callers[this.sequence % this.callers.length] as Caller;
    const work: WorkItem = {id: `work-${this.sequence}`, ...this.pickRoute()};
    const running = caller.call(work).then((record) => {
      this.records.push(record);
      this.pending.delete(running);
    });
    this.pending.add(running);
  }

  private pickRoute(): WeightedRoute {
    const total = this.routes.reduce(
      (sum, {route}) => sum + route.trafficShare,
      0,
    );
    let left = this.random() * total;
    for (const candidate of this.routes) {
      left -= candidate.route.trafficShare;
      if (left <= 0) {
        return candidate;
      }
    }
    return this.routes[0] as WeightedRoute;
  }
}
