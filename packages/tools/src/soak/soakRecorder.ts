// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Records the history of a soak. */

import type {SoakBox} from './soakBox.js';
import type {
  CallRecord,
  DrainRecord,
  LimitRecord,
  ExitRecord,
  VersionProbe,
  SoakHistory,
  StopRecord,
  DisruptionRecord,
  ConfirmedVersion,
} from './soakHistory.js';

/** Collects calls, probes, disruptions and exits of one soak. */
export class SoakRecorder {
  readonly calls: CallRecord[] = [];
  readonly drains: DrainRecord[] = [];
  readonly limits: LimitRecord[] = [];
  readonly versionProbes: VersionProbe[] = [];
  readonly versions: ConfirmedVersion[] = [];
  readonly disruptions: DisruptionRecord[] = [];
  readonly unexpectedExits: ExitRecord[] = [];
  private readonly stops: StopRecord[] = [];

  /** Records a disruption and the time span of the given action. */
  async recordDisruption(
    box: string,
    isPlanned: boolean,
    what: string,
    action: () => Promise<void>,
  ): Promise<void> {
    const from = Date.now();
    const disruption: DisruptionRecord = {
      box,
      isPlanned,
      what,
      from,
      until: Number.POSITIVE_INFINITY,
    };
    this.disruptions.push(disruption);
    await action();
    disruption.until = Date.now();
  }

  /**
   * Records that an upstream states a limit, unless it is no usable number;
   * returns a function that records its end.
   */
  recordLimit(
    box: string,
    lifetime: string,
    requestsPerSecond: number,
  ): () => void {
    const limit: LimitRecord = {
      box,
      lifetime,
      requestsPerSecond,
      from: Date.now(),
      until: Number.POSITIVE_INFINITY,
    };
    if (requestsPerSecond >= 0) {
      this.limits.push(limit);
    }
    return () => {
      limit.until = Date.now();
    };
  }

  /** Records a planned stop; undefined when the node was not running. */
  recordStop(stop: StopRecord | undefined): void {
    if (stop !== undefined) {
      this.stops.push(stop);
    }
  }

  /** Returns the history for the checks, except for the stalls. */
  history(
    boxes: readonly SoakBox[],
    steadyStateFrom: number,
  ): Omit<SoakHistory, 'stalls'> {
    const instances = boxes.flatMap(({upstreams}) => upstreams.all);
    const collect = <
      T extends {readonly requestId: string; readonly at: number},
    >(
      select: (instance: (typeof instances)[number]) => readonly T[],
    ): readonly (T & {readonly lifetime: string; readonly service: string})[] =>
      instances.flatMap((instance) =>
        select(instance).map((item) => ({
          ...item,
          lifetime: instance.process,
          service: instance.service,
        })),
      );
    return {
      calls: this.calls,
      runs: collect(({standIn}) => standIn.runs),
      arrivals: collect(({standIn}) => standIn.arrivals),
      drains: this.drains,
      limits: this.limits,
      upstreams: boxes.flatMap(({name, upstreams}) =>
        upstreams.all.map(({process, service, readyFrom, readyUntil}) => ({
          lifetime: process,
          box: name,
          service,
          readyFrom,
          readyUntil,
        })),
      ),
      versionProbes: this.versionProbes,
      versions: this.versions,
      disruptions: this.disruptions,
      stops: this.stops,
      unexpectedExits: this.unexpectedExits,
      steadyStateFrom,
      readyLifetimes: instances
        .filter(({state}) => state === 'ready')
        .map(({process}) => process),
    };
  }
}
