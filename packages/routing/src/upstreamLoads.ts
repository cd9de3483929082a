// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What one entry knows of the load and reachability of each upstream. */

/** The state of an upstream as its guard last told this entry. */
export type AnnouncedState =
  'accepting' | 'doubted' | 'probation' | 'ejected' | 'draining';

/** What a guard tells an entry with every answer. */
export interface LoadHint {
  readonly state: AnnouncedState;
  /** Calls running and queued at the guard. */
  readonly occupied: number;
  /** Calls the guard lets run at the same time now. */
  readonly limit: number;
  /** Milliseconds for which ordinary work goes elsewhere; while doubted. */
  readonly doubtedFor?: number;
  /** Milliseconds until a repeatable call may find out; while doubted. */
  readonly probeIn?: number;
}

/** Standings in which a guard refuses ordinary work. */
const TAKES_NO_WORK: ReadonlySet<AnnouncedState> = new Set<AnnouncedState>([
  'doubted',
  'ejected',
  'draining',
]);

/** Milliseconds after which a hint has lost most of its weight. */
const HINT_LIFE_MILLISECONDS = 1000;

/** With less than one hint of a moment ago, nothing is known of a service. */
const LEAST_KNOWN = 0.9;

/** A slot frees within about this time where calls take a few hundred. */
const FULL_MILLISECONDS = 150;

/** First pause after a guard said that it has no such upstream. */
const FIRST_MISSING_MILLISECONDS = 300;

/** The longest such pause. */
const LONGEST_MISSING_MILLISECONDS = 5000;

/** An upstream that refused new work is left alone this long. */
const REFUSED_PAUSE_MILLISECONDS = 500;

/** When an entry routes around a guard that it cannot reach. */
export interface LinkPatience {
  /** Failures in a row after which the guard is avoided. */
  readonly failuresToAvoid: number;
  readonly firstAvoidanceMilliseconds: number;
  readonly longestAvoidanceMilliseconds: number;
}

/** A single loss says little where calls wait long for their answers. */
export const DEFAULT_LINK_PATIENCE: LinkPatience = {
  failuresToAvoid: 2,
  firstAvoidanceMilliseconds: 1000,
  longestAvoidanceMilliseconds: 30_000,
};

interface UpstreamLoad {
  outstanding: number;
  hint: LoadHint | undefined;
  hintedAt: number;
  /** Its guard takes no ordinary work until then. */
  refusesUntil: number;
  /** Its guard takes not even a repeatable call as a probe until then. */
  refusesProbesUntil: number;
  /** Its guard could not be reached; not tried again until then. */
  unreachableUntil: number;
  linkFailures: number;
  /** Times in a row that its guard did not know it. */
  missed: number;
}

/** Keeps the loads of the upstreams that this entry has called. */
export class UpstreamLoads {
  private readonly loads = new Map<string, UpstreamLoad>();

  constructor(private readonly patience = DEFAULT_LINK_PATIENCE) {}

  /** A call was sent to an upstream. */
  sent(upstream: string): void {
    this.load(upstream).outstanding += 1;
  }

  /** A call to an upstream ended, however it ended. */
  ended(upstream: string): void {
    const load = this.load(upstream);
    load.outstanding = Math.max(0, load.outstanding - 1);
  }

  /** The guard answered or refused, so the link to it works. */
  heard(upstream: string, now: number, hint: LoadHint): void {
    const load = this.load(upstream);
    load.hint = hint;
    load.hintedAt = now;
    load.linkFailures = 0;
    load.missed = 0;
    load.unreachableUntil = 0;
    const refuses = TAKES_NO_WORK.has(hint.state);
    const {doubtedFor, probeIn} = hint;
    const pause = doubtedFor ?? REFUSED_PAUSE_MILLISECONDS;
    load.refusesUntil = refuses ? now + pause : 0;
    load.refusesProbesUntil = refuses ? now + (probeIn ?? pause) : 0;
  }

  /**
   * The guard has no such upstream. Its box may have lost it, or not have heard
   * of it yet after a restart, so that it is asked again, but ever more rarely.
   */
  isMissing(upstream: string, now: number): void {
    const load = this.load(upstream);
    const pause = Math.min(
      LONGEST_MISSING_MILLISECONDS,
      FIRST_MISSING_MILLISECONDS * 2 ** load.missed,
    );
    load.missed += 1;
    load.refusesUntil = now + pause;
    load.refusesProbesUntil = now + pause;
  }

  /**
   * Nothing was heard from the guard. That says something of the link between
   * the two and nothing of the upstream, so only this entry routes around it.
   */
  linkFailed(upstream: string, now: number, random: number): void {
    const load = this.load(upstream);
    load.linkFailures += 1;
    const {patience} = this;
    const repeats = load.linkFailures - patience.failuresToAvoid;
    if (repeats < 0) {
      return;
    }
    const pause = Math.min(
      patience.longestAvoidanceMilliseconds,
      patience.firstAvoidanceMilliseconds * 2 ** repeats,
    );
    load.unreachableUntil = now + pause * (0.5 + random);
  }

  /**
   * Whether this entry routes around an upstream for now. A call that can be
   * repeated may be the one that finds out how a doubted upstream is.
   */
  isAvoided(upstream: string, now: number, mayProbe = false): boolean {
    const load = this.loads.get(upstream);
    if (load === undefined) {
      return false;
    }
    const refuses = mayProbe ? load.refusesProbesUntil : load.refusesUntil;
    return Math.max(refuses, load.unreachableUntil) > now;
  }

  /** Whether the guard said a moment ago that no slot is free. */
  isFull(upstream: string, now: number): boolean {
    const load = this.loads.get(upstream);
    const hint = load?.hint;
    if (load === undefined || hint === undefined) {
      return false;
    }
    const isFresh = now - load.hintedAt <= FULL_MILLISECONDS;
    return isFresh && hint.occupied >= hint.limit;
  }

  /** What the guard last said, with its age in milliseconds, for logs. */
  lastHint(
    upstream: string,
    now: number,
  ): {readonly hint: LoadHint; readonly age: number} | undefined {
    const load = this.loads.get(upstream);
    return load?.hint && {hint: load.hint, age: now - load.hintedAt};
  }

  /**
   * Expected occupation of an upstream, 1 when all its slots are taken. What is not
   * known of it, or no longer, is taken to be usual: an upstream that nothing was
   * heard of for long is no emptier than others.
   */
  occupation(upstream: string, slots: number, now: number, usual = 0): number {
    const load = this.loads.get(upstream);
    const hint = load?.hint;
    if (load === undefined || hint === undefined) {
      return Math.max(usual, (load?.outstanding ?? 0) / slots);
    }
    const trust = trustIn(load, now);
    const limit = Math.max(1, hint.limit * trust + slots * (1 - trust));
    const told = (hint.occupied * trust) / limit;
    const expected = told + usual * (1 - trust);
    return Math.max(load.outstanding / limit, expected);
  }

  /** Mean of what is known of the occupation of some upstreams; newer counts more. */
  usualOccupation(upstreams: readonly string[], now: number): number {
    let sum = 0;
    let weights = 0;
    for (const upstream of upstreams) {
      const load = this.loads.get(upstream);
      if (load?.hint?.state === 'accepting') {
        const trust = trustIn(load, now);
        sum += toldBy(load.hint) * trust;
        weights += trust;
      }
    }
    return weights > LEAST_KNOWN ? sum / weights : 0;
  }

  /** Forgets upstreams that are no longer configured. */
  retain(isKnown: (upstream: string) => boolean): void {
    for (const [name, load] of this.loads) {
      if (load.outstanding === 0 && !isKnown(name)) {
        this.loads.delete(name);
      }
    }
  }

  private load(upstream: string): UpstreamLoad {
    const found = this.loads.get(upstream);
    if (found !== undefined) {
      return found;
    }
    const made: UpstreamLoad = {
      outstanding: 0,
      hint: undefined,
      hintedAt: 0,
      refusesUntil: 0,
      refusesProbesUntil: 0,
      unreachableUntil: 0,
      linkFailures: 0,
      missed: 0,
    };
    this.loads.set(upstream, made);
    return made;
  }
}

/** How much a hint still counts, from 1 when it came down to 0. */
function trustIn({hintedAt}: UpstreamLoad, now: number): number {
  return Math.exp((hintedAt - now) / HINT_LIFE_MILLISECONDS);
}

function toldBy({occupied, limit}: LoadHint): number {
  return occupied / Math.max(1, limit);
}
