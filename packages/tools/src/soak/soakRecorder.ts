// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Gathers what was seen and done in a soak. */

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

/** Lives as long as one soak. */
export class SoakRecorder {
  readonly calls: CallFact[] = [];
  readonly drains: DrainFact[] = [];
  readonly markers: MarkerFact[] = [];
  readonly versions: VersionFact[] = [];
  readonly troubles: TroubleFact[] = [];
  readonly unasked: ExitFact[] = [];
  private readonly stops: StopFact[] = [];

  /** Notes from when to when something is done. */
  async trouble(
    box: string,
    isPlanned: boolean,
    what: string,
    act: () => Promise<void>,
  ): Promise<void> {
    const from = Date.now();
    const fact: TroubleFact = {
      box,
      isPlanned,
      what,
      from,
      until: Number.POSITIVE_INFINITY,
    };
    this.troubles.push(fact);
    await act();
    fact.until = Date.now();
  }

  /** A planned stop is over; undefined when there was nothing to stop. */
  stopped(stop: StopFact | undefined): void {
    if (stop !== undefined) {
      this.stops.push(stop);
    }
  }

  /** All that there is to check. */
  facts(boxes: readonly SoakBox[], calmFrom: number): SoakFacts {
    const lives = boxes.flatMap(({upstreams}) => upstreams.all);
    const ofLives = <
      T extends {readonly requestId: string; readonly at: number},
    >(
      read: (life: (typeof lives)[number]) => readonly T[],
    ): readonly (T & {readonly lifetime: string; readonly service: string})[] =>
      lives.flatMap((life) =>
        read(life).map((item) => ({
          ...item,
          lifetime: life.process,
          service: life.service,
        })),
      );
    return {
      calls: this.calls,
      runs: ofLives(({standIn}) => standIn.runs),
      arrivals: ofLives(({standIn}) => standIn.arrivals),
      drains: this.drains,
      markers: this.markers,
      versions: this.versions,
      troubles: this.troubles,
      stops: this.stops,
      unasked: this.unasked,
      calmFrom,
      readyLifetimes: lives
        .filter(({state}) => state === 'ready')
        .map(({process}) => process),
    };
  }
}
