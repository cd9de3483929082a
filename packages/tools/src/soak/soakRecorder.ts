// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Records the history of a soak. */

import type {SoakBox} from './soakBox.js';
import type {
  CallFact,
  DrainFact,
  ExitFact,
  MarkerFact,
  SoakFacts,
  StopFact,
  TroubleFact,
  VersionFact,
} from './soakFacts.js';

/** Collects calls, probes, disruptions and exits of one soak. */
export class SoakRecorder {
  readonly calls: CallFact[] = [];
  readonly drains: DrainFact[] = [];
  readonly markers: MarkerFact[] = [];
  readonly versions: VersionFact[] = [];
  readonly troubles: TroubleFact[] = [];
  readonly unasked: ExitFact[] = [];
  private readonly stops: StopFact[] = [];

  /** Records a disruption and the time span of the given action. */
  async trouble(
    box: string,
    isPlanned: boolean,
    what: string,
    action: () => Promise<void>,
  ): Promise<void> {
    const from = Date.now();
    const disruption: TroubleFact = {
      box,
      isPlanned,
      what,
      from,
      until: Number.POSITIVE_INFINITY,
    };
    this.troubles.push(disruption);
    await action();
    disruption.until = Date.now();
  }

  /** Records a planned stop; undefined when the node was not running. */
  stopped(stop: StopFact | undefined): void {
    if (stop !== undefined) {
      this.stops.push(stop);
    }
  }

  /** Returns the history for the checks. */
  facts(boxes: readonly SoakBox[], steadyStateFrom: number): SoakFacts {
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
      markers: this.markers,
      versions: this.versions,
      troubles: this.troubles,
      stops: this.stops,
      unasked: this.unasked,
      calmFrom: steadyStateFrom,
      readyLifetimes: instances
        .filter(({state}) => state === 'ready')
        .map(({process}) => process),
    };
  }
}
