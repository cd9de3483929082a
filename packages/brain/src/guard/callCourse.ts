// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The calls that a guard has accepted, their reservations and refusals. */

import type {Freed} from '@lockpin/admission';
import type {RefusalReason} from '@lockpin/types';
import type {GuardAction, GuardCall, GuardSettings} from './guardMessages.js';
import type {GuardedServices} from './guardedServices.js';
import {refuse} from './guardRefusals.js';
import type {RefuseAction} from './guardRefusals.js';
import type {ReportSchedule} from './reportSchedule.js';
import {doubtNoted, standingEvent} from './standingActions.js';
import type {CallEnd, UpstreamGuard} from './upstreamGuard.js';
import type {StandingChange} from './upstreamStanding.js';

/** A call that was accepted and has not ended. */
export interface KnownCall {
  /** Its digest comes with the go where there is one. */
  call: GuardCall;
  readonly upstream: UpstreamGuard;
  /** When its slot was reserved; undefined before, and once it was sent. */
  reservedAt: number | undefined;
}

/** Follows calls while they wait, hold a slot, and give it to others. */
export class CallCourse {
  private readonly calls = new Map<string, KnownCall>();

  constructor(
    private readonly services: GuardedServices,
    private readonly reports: ReportSchedule,
    private readonly settings: GuardSettings,
  ) {}

  /** Calls accepted and not yet ended. */
  get count(): number {
    return this.calls.size;
  }

  /** The call, while it has not ended. */
  get(callId: string): KnownCall | undefined {
    return this.calls.get(callId);
  }

  /** A call is accepted. */
  add(call: GuardCall, upstream: UpstreamGuard): KnownCall {
    const known: KnownCall = {call, upstream, reservedAt: undefined};
    this.calls.set(call.id, known);
    return known;
  }

  /** The call has not run and, once refused, never will under its key. */
  refuseForGood(
    now: number,
    call: GuardCall,
    upstream: UpstreamGuard,
    reason: RefusalReason,
    retryAfter = upstream.retryAfter(now),
  ): RefuseAction {
    this.services.ledgerOf(call)?.refused(call.onceKey ?? '');
    return refuse(now, call, reason, 'not-run', upstream, retryAfter);
  }

  /** A call that has not run is refused; nothing when it has already ended. */
  refuseWaiting(
    now: number,
    callId: string,
    reason: RefusalReason,
  ): readonly GuardAction[] {
    const known = this.take(callId);
    if (known === undefined) {
      return [];
    }
    return [this.refuseForGood(now, known.call, known.upstream, reason)];
  }

  /** Takes out a call that has ended; undefined when it already had. */
  take(callId: string): KnownCall | undefined {
    const known = this.calls.get(callId);
    this.calls.delete(callId);
    return known;
  }

  /** A call has its slot: it runs, or the slot is kept until the entry says go. */
  run(now: number, known: KnownCall): readonly GuardAction[] {
    if (known.call.needsGo === true) {
      known.reservedAt = now;
      return [{kind: 'reserve', callId: known.call.id}];
    }
    return this.send(now, known);
  }

  /** The call goes to its upstream, or gives its slot back where nothing pays. */
  send(now: number, known: KnownCall): readonly GuardAction[] {
    const {call, upstream} = known;
    const quarantined = this.settings.quarantinedFor(now, call.requestDigest);
    if (quarantined > 0) {
      const reason = 'request-quarantined';
      return this.releaseReservation(now, known, reason, quarantined);
    }
    if (!upstream.send(now, call)) {
      return this.releaseReservation(now, known, 'retries-exhausted');
    }
    known.reservedAt = undefined;
    this.services.ledgerOf(call)?.started(call.onceKey ?? '');
    return [{kind: 'run', callId: call.id, upstream: upstream.name}];
  }

  /** What waits for an upstream that drains can go elsewhere at once. */
  refuseWhereDraining(now: number): readonly GuardAction[] {
    if (this.settings.drainFinishesQueue) {
      return [];
    }
    return [...this.services.upstreams()]
      .filter(({isDraining}) => isDraining)
      .flatMap((upstream) => upstream.withdrawAll())
      .flatMap(({id}) => this.refuseWaiting(now, id, 'upstream-draining'));
  }

  /** The call was never sent, and never will be. */
  releaseReservation(
    now: number,
    {call, upstream}: KnownCall,
    reason: RefusalReason,
    retryAfter?: number,
  ): readonly GuardAction[] {
    this.calls.delete(call.id);
    const freed = upstream.release(now, call.id);
    return [
      this.refuseForGood(now, call, upstream, reason, retryAfter),
      ...this.freed(now, freed),
    ];
  }

  /** Slots came free: calls that waited have theirs, or waited too long. */
  freed(now: number, freed: Freed): readonly GuardAction[] {
    const expired = freed.expired.flatMap(({id}) =>
      this.refuseWaiting(now, id, 'deadline-too-short'),
    );
    const started = freed.started.flatMap(({id}) => {
      const known = this.calls.get(id);
      if (known === undefined) {
        return [];
      }
      known.upstream.start(now, known.call);
      return this.run(now, known);
    });
    return [...started, ...expired];
  }

  /** What follows from the end of a call that had its slot. */
  ended(
    now: number,
    upstream: UpstreamGuard,
    {freed, change}: CallEnd,
    wasDoubted: boolean,
  ): readonly GuardAction[] {
    return [
      ...this.freed(now, freed),
      ...this.noted(now, upstream, change),
      ...this.doubtChanged(now, upstream, wasDoubted),
    ];
  }

  /**
   * What follows where doubt began or ended. Calls that wait go elsewhere at once:
   * the slots that they wait for are held by calls that may never end.
   */
  doubtChanged(
    now: number,
    upstream: UpstreamGuard,
    wasDoubted: boolean,
  ): readonly GuardAction[] {
    const hasBegun = !wasDoubted && upstream.isDoubted(now);
    const leaving =
      hasBegun && this.settings.doubtReleasesQueue
        ? upstream.waiting().filter(({id}) => !this.mayRunDoubted(id))
        : [];
    const refusals = leaving.flatMap(({id}) => {
      upstream.withdraw(id);
      return this.refuseWaiting(now, id, 'upstream-doubted');
    });
    return [...doubtNoted(now, upstream, wasDoubted), ...refusals];
  }

  private mayRunDoubted(callId: string): boolean {
    return this.calls.get(callId)?.call.mayRunDoubted === true;
  }

  /** What follows from a change of an upstream's standing. */
  noted(
    now: number,
    upstream: UpstreamGuard,
    standing: StandingChange | undefined,
  ): readonly GuardAction[] {
    if (standing === undefined) {
      return [];
    }
    const {change} = standing;
    const refusals =
      change === 'ejected'
        ? upstream
            .withdrawAll()
            .flatMap(({id}) => this.refuseWaiting(now, id, 'upstream-ejected'))
        : [];
    const isUrgent = change === 'condemned' || change === 'returned';
    const reports = isUrgent ? this.reports.urgent(now, upstream) : [];
    return [standingEvent(upstream, standing), ...refusals, ...reports];
  }

  /**
   * Ends all calls of an upstream whose process has ended: those that were sent may have
   * run, the others have not. Returns the digests of the first besides.
   */
  endAllOf(
    now: number,
    upstream: UpstreamGuard,
  ): {
    readonly actions: readonly GuardAction[];
    readonly digests: readonly string[];
  } {
    const ended = [...this.calls.values()].filter(
      (known) => known.upstream === upstream,
    );
    const sent = ended.filter(({call}) => upstream.isSent(call.id));
    const actions = ended.flatMap((known) =>
      sent.includes(known)
        ? this.breakOff(now, known)
        : this.refuseWaiting(now, known.call.id, 'upstream-replaced'),
    );
    return {actions, digests: sent.map(({call}) => call.requestDigest)};
  }

  private breakOff(
    now: number,
    {call, upstream}: KnownCall,
  ): readonly GuardAction[] {
    this.calls.delete(call.id);
    this.services.ledgerOf(call)?.broke(call.onceKey ?? '');
    return [
      {kind: 'abort', callId: call.id},
      refuse(now, call, 'upstream-failed', 'unknown', upstream),
    ];
  }

  /** Slots that no entry has taken up in time go to others. */
  expireReservations(now: number): readonly GuardAction[] {
    const {reservationMilliseconds} = this.settings;
    return [...this.calls.values()]
      .filter(
        ({reservedAt}) =>
          reservedAt !== undefined &&
          now - reservedAt > reservationMilliseconds,
      )
      .flatMap((known) =>
        this.releaseReservation(now, known, 'reservation-expired'),
      );
  }
}
