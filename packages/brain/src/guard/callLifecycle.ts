// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Lifecycle of the calls that a guard has accepted. */

import type {DispatchResult} from '@lockpin/admission';
import type {RefusalReason} from '@lockpin/types';
import type {CallTree} from './callTree.js';
import type {GuardCall} from './guardCall.js';
import type {GuardAction} from './guardMessages.js';
import type {GuardSettings} from './guardSettings.js';
import type {GuardedServices} from './guardedServices.js';
import {leavingHint, refuse} from './guardRefusals.js';
import type {RefuseAction} from './guardRefusals.js';
import type {GuardStop} from './guardStop.js';
import type {ReportSchedule} from './reportSchedule.js';
import {doubtChangeActions, standingEvent} from './standingActions.js';
import type {CallEnd, UpstreamGuard} from './upstreamGuard.js';
import type {StandingChange} from './upstreamStanding.js';

/** An accepted call that has not ended. */
export interface AcceptedCall {
  /** With a reservation, the request digest only arrives with the go. */
  call: GuardCall;
  readonly upstream: UpstreamGuard;
  /** When its slot was reserved; undefined before that and after sending. */
  reservedAt: number | undefined;
}

/** Tracks calls while they wait or hold a slot, and passes freed slots on. */
export class CallLifecycle {
  private readonly calls = new Map<string, AcceptedCall>();

  constructor(
    private readonly services: GuardedServices,
    private readonly reports: ReportSchedule,
    private readonly settings: GuardSettings,
    private readonly callTree: CallTree,
    private readonly stop: GuardStop,
  ) {}

  /** Number of accepted calls that have not ended. */
  get count(): number {
    return this.calls.size;
  }

  /** The accepted call; undefined once it has ended. */
  get(callId: string): AcceptedCall | undefined {
    return this.calls.get(callId);
  }

  /** Adds an accepted call. */
  add(call: GuardCall, upstream: UpstreamGuard): AcceptedCall {
    const known: AcceptedCall = {call, upstream, reservedAt: undefined};
    this.calls.set(call.id, known);
    return known;
  }

  /** Refuses a call that has not run; its once key can never run it later. */
  refusePermanently(
    now: number,
    call: GuardCall,
    upstream: UpstreamGuard,
    reason: RefusalReason,
    retryAfter = upstream.retryAfter(now),
  ): RefuseAction {
    this.services.ledgerOf(call)?.refused(call.onceKey ?? '');
    const refusal = refuse(now, call, reason, 'not-run', upstream, retryAfter);
    const {hint} = refusal;
    return this.stop.isLeaving
      ? {
          ...refusal,
          hint: hint && leavingHint(hint, this.stop.fallbackFor(now)),
        }
      : refusal;
  }

  /** Refuses a waiting call; no action if it has already ended. */
  refuseWaiting(
    now: number,
    callId: string,
    reason: RefusalReason,
  ): readonly GuardAction[] {
    const known = this.remove(now, callId);
    if (known === undefined) {
      return [];
    }
    return [this.refusePermanently(now, known.call, known.upstream, reason)];
  }

  /**
   * Removes a call that has ended; undefined if it was removed before.
   * @param isComplete Whether it ran to its end without an error.
   */
  remove(
    now: number,
    callId: string,
    isComplete = false,
  ): AcceptedCall | undefined {
    const known = this.calls.get(callId);
    this.calls.delete(callId);
    this.callTree.ended(now, callId, isComplete);
    return known;
  }

  /** Sends a call that got its slot, or reserves the slot until its go. */
  run(now: number, known: AcceptedCall): readonly GuardAction[] {
    this.callTree.gotSlot(now, known.call);
    if (known.call.needsGo === true) {
      known.reservedAt = now;
      return [{kind: 'reserve', callId: known.call.id}];
    }
    return this.send(now, known);
  }

  /**
   * Sends the call to its upstream. A quarantined request, a call that can't end
   * before this node stops, or a retry beyond the retry budget releases its slot
   * instead.
   */
  send(now: number, known: AcceptedCall): readonly GuardAction[] {
    const {call, upstream} = known;
    const quarantined = this.settings.quarantinedFor(now, call.requestDigest);
    if (quarantined > 0) {
      const reason = 'request-quarantined';
      return this.releaseReservation(now, known, reason, quarantined);
    }
    if (!this.stop.mayStart(now, call, upstream.recentDurations)) {
      return this.releaseReservation(now, known, 'node-leaving');
    }
    if (!upstream.send(now, call)) {
      return this.releaseReservation(now, known, 'retries-exhausted');
    }
    known.reservedAt = undefined;
    this.callTree.started(call);
    this.services.ledgerOf(call)?.started(call.onceKey ?? '');
    return [{kind: 'run', callId: call.id, upstream: upstream.name}];
  }

  /** Whether an upstream may not even run the calls that it has accepted. */
  runsNothingMore({isDraining, notice}: UpstreamGuard): boolean {
    const isDrained = isDraining && !this.settings.drainFinishesQueue;
    return isDrained || notice.isLeaving;
  }

  /** Refuses calls queued for draining upstreams, so that they go elsewhere. */
  refuseQueuedOnDraining(now: number): readonly GuardAction[] {
    return [...this.services.upstreams()]
      .filter((upstream) => this.runsNothingMore(upstream))
      .flatMap((upstream) => upstream.withdrawAll())
      .flatMap(({id}) => this.refuseWaiting(now, id, 'upstream-draining'));
  }

  /** Releases the slot of a call that was not sent, and refuses the call. */
  releaseReservation(
    now: number,
    {call, upstream}: AcceptedCall,
    reason: RefusalReason,
    retryAfter?: number,
  ): readonly GuardAction[] {
    this.remove(now, call.id);
    const freedSlots = upstream.releaseUnsent(now, call.id);
    return [
      this.refusePermanently(now, call, upstream, reason, retryAfter),
      ...this.slotsFreed(now, freedSlots),
    ];
  }

  /** Starts the calls that got freed slots, and refuses the expired ones. */
  slotsFreed(now: number, freed: DispatchResult): readonly GuardAction[] {
    const expired = freed.expired.flatMap(({id}) =>
      this.refuseWaiting(now, id, 'deadline-too-short'),
    );
    const started = freed.started.flatMap(({id}) => {
      const known = this.calls.get(id);
      if (known === undefined) {
        return [];
      }
      const shortage = this.callTree.shortage(now, known.call);
      if (shortage !== undefined) {
        const after = Math.ceil(shortage.milliseconds);
        return this.releaseReservation(now, known, 'nested-busy', after);
      }
      known.upstream.start(now, known.call);
      return this.run(now, known);
    });
    return [...started, ...expired];
  }

  /** Actions after the end of a call that held a slot. */
  callEnded(
    now: number,
    upstream: UpstreamGuard,
    {freed, change}: CallEnd,
    wasDoubted: boolean,
  ): readonly GuardAction[] {
    return [
      ...this.slotsFreed(now, freed),
      ...this.standingChanged(now, upstream, change),
      ...this.doubtChanged(now, upstream, wasDoubted),
    ];
  }

  /**
   * Actions after doubt began or ended. Waiting calls are refused at once, so
   * that they go elsewhere: the slots they wait for are held by calls that may
   * never end.
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
    return [...doubtChangeActions(now, upstream, wasDoubted), ...refusals];
  }

  private mayRunDoubted(callId: string): boolean {
    return this.calls.get(callId)?.call.mayRunDoubted === true;
  }

  /** Actions after a change of an upstream's standing. */
  standingChanged(
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
   * Ends all calls of an upstream whose process has ended: those that were sent
   * may have run, the others have not. Also returns the digests of the sent
   * ones.
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
        ? this.abortSent(now, known)
        : this.refuseWaiting(now, known.call.id, 'upstream-replaced'),
    );
    return {actions, digests: sent.map(({call}) => call.requestDigest)};
  }

  private abortSent(
    now: number,
    {call, upstream}: AcceptedCall,
  ): readonly GuardAction[] {
    this.remove(now, call.id);
    this.services.ledgerOf(call)?.interrupted(call.onceKey ?? '');
    return [
      {kind: 'abort', callId: call.id},
      refuse(now, call, 'upstream-failed', 'unknown', upstream),
    ];
  }

  /** Releases reserved slots whose entry has not sent its go in time. */
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
