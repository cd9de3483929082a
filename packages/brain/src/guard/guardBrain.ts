// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The guard of a box: decides what becomes of each call to its upstreams. */

import type {Fence, HolderReply} from '@lockpin/floor';
import {isLaterPosition, laterPosition} from '@lockpin/utils';
import type {OnceHome} from '@lockpin/once';
import type {LoadHint} from '@lockpin/routing';
import type {RandomSource, UpstreamIncarnation} from '@lockpin/types';
import {CallCourse} from './callCourse.js';
import {CallEnds} from './callEnds.js';
import {DEFAULT_GUARD_SETTINGS} from './guardMessages.js';
import type {
  GuardAction,
  GuardEvent,
  GuardSettings,
  GuardedService,
} from './guardMessages.js';
import {GuardedServices} from './guardedServices.js';
import {leavingHint} from './guardRefusals.js';
import {OfferedCalls} from './offeredCalls.js';
import {ReportSchedule} from './reportSchedule.js';
import {UpstreamEnds} from './upstreamEnds.js';

/** Decides by (now, random, event) alone. */
export class GuardBrain {
  private readonly services: GuardedServices;
  private readonly reports: ReportSchedule;
  private readonly course: CallCourse;
  private readonly offers: OfferedCalls;
  private readonly callEnds: CallEnds;
  private readonly upstreamEnds: UpstreamEnds;
  private isLeaving = false;
  /** No permit is taken before the holders stream was read to its end. */
  private mayTakePermits = false;

  constructor(
    home: OnceHome,
    private readonly settings: GuardSettings = DEFAULT_GUARD_SETTINGS,
  ) {
    this.services = new GuardedServices(home, settings);
    this.reports = new ReportSchedule(home, this.services);
    this.course = new CallCourse(this.services, this.reports, settings);
    this.offers = new OfferedCalls(
      this.services,
      this.course,
      () => this.isLeaving,
    );
    this.upstreamEnds = new UpstreamEnds(this.services, this.course);
    this.callEnds = new CallEnds(this.services, this.course, this.upstreamEnds);
  }

  /** Calls accepted and not yet ended. */
  get callCount(): number {
    return this.course.count;
  }

  /**
   * Whether an upstream here works on a repeated call: what it calls meanwhile
   * is repeated as well.
   */
  get runsRepeats(): boolean {
    return [...this.services.upstreams()].some(({runsRepeats}) => runsRepeats);
  }

  /** What entries are told of an upstream with each answer. */
  hintOf(now: number, upstream: string): LoadHint | undefined {
    const hint = this.services.upstream(upstream)?.hint(now);
    return hint && this.isLeaving ? leavingHint(hint) : hint;
  }

  /** The process behind an upstream; undefined when not known. */
  incarnationOf(upstream: string): UpstreamIncarnation | undefined {
    return this.services.upstream(upstream)?.incarnation;
  }

  /** The standing of each upstream, for status. */
  standings(now: number): readonly {
    readonly upstream: string;
    readonly state: string;
    readonly occupied: number;
    readonly limit: number;
    readonly denial: string;
  }[] {
    return [...this.services.upstreams()].map((upstream) => {
      const {state, occupied, limit} = upstream.hint(now);
      const shown = upstream.standing.condemned ? 'condemned' : state;
      const {name, standing} = upstream;
      const {denial} = standing;
      return {upstream: name, state: shown, occupied, limit, denial};
    });
  }

  handle(
    now: number,
    random: RandomSource,
    event: GuardEvent,
  ): readonly GuardAction[] {
    switch (event.kind) {
      case 'call-offered':
        return this.offers.offered(now, random, event.call);
      case 'call-go':
        return this.go(now, event.callId, event.requestDigest);
      case 'call-cancelled':
        return this.callEnds.givenUp(now, event.callId, 'caller-left');
      case 'own-call-failed':
        for (const upstream of this.services.upstreams()) {
          upstream.ownCallFailed(now);
        }
        return [];
      case 'call-deadline-passed':
        return this.callEnds.givenUp(now, event.callId, 'deadline-passed');
      case 'upstream-answered':
        return this.callEnds.answered(now, event);
      case 'upstream-failed':
        return this.callEnds.failed(now, event.callId, event.wasSent);
      case 'upstream-looked-at':
        return this.upstreamEnds.lookedAt(now, event);
      case 'upstream-refused':
        return this.callEnds.refused(now, event.callId, event.reason);
      case 'services-changed':
        return this.configure(now, event.services);
      case 'holder-replied':
        return this.replied(now, event.service, event.reply);
      case 'fence-learnt':
        return this.learnFence(event.service, event.fence);
      case 'holders-read':
        this.mayTakePermits = true;
        return [];
      case 'leaving':
        this.isLeaving = true;
        return this.tellLeaving(now);
      case 'clock-gained':
        for (const {retries} of this.services.all()) {
          retries.clockGained(event.milliseconds);
        }
        return [];
      case 'tick':
        return this.tick(now);
    }
  }

  private configure(
    now: number,
    services: readonly GuardedService[],
  ): readonly GuardAction[] {
    const succeeded = this.services.configure(services);
    return [
      ...succeeded.flatMap((upstream) =>
        this.upstreamEnds.succeeded(
          now,
          upstream,
          this.hintOf(now, upstream.name),
        ),
      ),
      ...this.course.refuseWhereDraining(now),
    ];
  }

  /** Only a reservation that still stands is acted upon. */
  private go(
    now: number,
    callId: string,
    requestDigest: string,
  ): readonly GuardAction[] {
    const known = this.course.get(callId);
    if (known?.reservedAt === undefined) {
      return [];
    }
    known.call = {...known.call, requestDigest};
    if (known.upstream.isDraining && !this.settings.drainFinishesQueue) {
      return this.course.releaseReservation(now, known, 'upstream-draining');
    }
    return this.course.send(now, known);
  }

  private replied(
    now: number,
    service: string,
    reply: HolderReply,
  ): readonly GuardAction[] {
    const state = this.services.get(service);
    const upstream = this.services.upstream(reply.upstream);
    const isStale =
      state === undefined || isLaterPosition(state.fence, reply.fence);
    if (isStale || upstream === undefined || !this.mayTakePermits) {
      return [];
    }
    state.fence = reply.fence;
    return this.course.noted(
      now,
      upstream,
      upstream.standing.replied(now, reply),
    );
  }

  private learnFence(service: string, fence: Fence): readonly GuardAction[] {
    const state = this.services.get(service);
    if (state !== undefined) {
      state.fence = laterPosition(state.fence, fence);
    }
    return [];
  }

  /** Entries go elsewhere before their next offers come in vain. */
  private tellLeaving(now: number): readonly GuardAction[] {
    return [...this.services.upstreams()].map((upstream) => ({
      kind: 'standing',
      upstream: upstream.name,
      hint: leavingHint(upstream.hint(now)),
    }));
  }

  private tick(now: number): readonly GuardAction[] {
    const actions: GuardAction[] = [];
    actions.push(...this.course.expireReservations(now));
    for (const upstream of this.services.upstreams()) {
      const wasDoubted = upstream.isDoubted(now);
      const {freed, changes} = upstream.review(now);
      actions.push(...this.course.doubtChanged(now, upstream, wasDoubted));
      actions.push(...this.course.freed(now, freed));
      actions.push(...this.upstreamEnds.look(now, upstream));
      for (const change of changes) {
        actions.push(...this.course.noted(now, upstream, change));
      }
    }
    actions.push(...this.reports.due(now));
    return actions;
  }
}
