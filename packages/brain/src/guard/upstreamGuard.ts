// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Guard of one upstream: admission, doubt and ejection. */

import {Admission} from '@lockpin/admission';
import type {
  DispatchResult,
  AdmissionDecision,
  WaitingCall,
} from '@lockpin/admission';
import type {CallEvidenceKind} from '@lockpin/detection';
import type {Fence, GuardReport} from '@lockpin/floor';
import {RejectionShare} from '@lockpin/detection';
import {CrashDetector} from '@lockpin/quarantine';
import type {LoadHint, RecentDurations, RetryAllowance} from '@lockpin/routing';
import type {
  RefusalReason,
  Resource,
  Sensitivity,
  UpstreamIncarnation,
  UpstreamSpec,
} from '@lockpin/types';
import {FIRST_SERVER_ERROR_STATUS, incarnationText} from '@lockpin/utils';
import type {GuardCall} from './guardCall.js';
import type {GuardLimits} from './guardMessages.js';
import type {GuardSettings} from './guardSettings.js';
import {OwnCallFailures} from './ownCallFailures.js';
import {chargeRetryBudget} from './chargeRetryBudget.js';
import {QuickDoubt} from './quickDoubt.js';
import type {DoubtReason} from './quickDoubt.js';
import type {RunningCall} from './runningCall.js';
import {StatedNotice} from './statedNotice.js';
import {upstreamHint} from './upstreamHint.js';
import {UpstreamRefusals} from './upstreamRefusals.js';
import {UpstreamStanding} from './upstreamStanding.js';
import type {StandingChange} from './upstreamStanding.js';
import {UsualDurations} from './usualDurations.js';
import {precedenceOf, toWaitingCall} from './toWaitingCall.js';

/** Share of its limit that a suspect upstream announces, to divert calls. */
const SUSPECT_LIMIT_SHARE = 0.25;

/** The upstream does not support the call, which does not count as failure. */
const NOT_IMPLEMENTED_STATUS = 501;

/** Consequences of the end of a call. */
export interface CallEnd {
  readonly freed: DispatchResult;
  readonly change: StandingChange | undefined;
}

/** What a complete answer shows of the upstream. */
export interface UpstreamResult {
  readonly status: number;
  /** The upstream reported overload. */
  readonly isShed: boolean;
  /** A nested call of the call was not served. */
  readonly isExplained: boolean;
}

/** Admits calls to one upstream and evaluates their outcomes. */
export class UpstreamGuard {
  private readonly admission: Admission;
  /** Verdict of the sequential tests, and the resulting ejection state. */
  readonly standing: UpstreamStanding;
  /** Detects from broken calls whether the process has ended. */
  readonly crashes = new CrashDetector();
  /** What the upstream states about itself in its answers. */
  readonly notice: StatedNotice;
  private readonly running = new Map<string, RunningCall>();
  private readonly rejections = new RejectionShare();
  private readonly doubt: QuickDoubt;
  private readonly refusals: UpstreamRefusals;
  private readonly durations: UsualDurations;
  private readonly ownCallFailures: OwnCallFailures;
  /** Whether another process answers at the address. */
  private isReplaced = false;
  private spec: UpstreamSpec;

  constructor(
    readonly name: string,
    resource: Resource<'Upstream'>,
    sensitivity: Sensitivity,
    private readonly settings: GuardSettings,
    private readonly retries: RetryAllowance,
    service: string,
  ) {
    this.spec = resource.spec;
    this.admission = new Admission(
      resource.spec.slots,
      !settings.hasQuickDoubt,
      settings.admission,
    );
    this.notice = new StatedNotice(this.admission.rate);
    this.doubt = new QuickDoubt({
      ...settings,
      areRejectionsCommon: (now) => settings.areRejectionsCommon(now, service),
    });
    this.durations = new UsualDurations(() => this.spec.coldUntil ?? 0);
    this.ownCallFailures = new OwnCallFailures(settings.excusesFailures);
    this.standing = new UpstreamStanding(name, sensitivity);
    this.refusals = new UpstreamRefusals(this.doubt, this.standing, retries);
  }

  get isDraining(): boolean {
    return this.spec.state === 'draining' || this.notice.isLeaving;
  }

  get isIdle(): boolean {
    return this.admission.occupied === 0;
  }

  get occupied(): number {
    return this.admission.occupied;
  }

  /** Whether a call runs here that ran, or was sent, elsewhere before. */
  get runsRepeats(): boolean {
    return [...this.running.values()].some(
      ({call, isSent}) => isSent && call.attempt > 1,
    );
  }

  configure(resource: Resource<'Upstream'>, sensitivity: Sensitivity): void {
    this.spec = resource.spec;
    this.admission.setSlots(resource.spec.slots);
    this.standing.configure(sensitivity);
  }

  /** The process that calls are addressed to; undefined if unknown. */
  get incarnation(): UpstreamIncarnation | undefined {
    return this.spec.incarnation;
  }

  /** The process as text; empty if unknown. */
  get incarnationName(): string {
    const {incarnation} = this;
    return incarnation === undefined ? '' : incarnationText(incarnation);
  }

  /** The clock jumped ahead, by time that may not have passed. */
  clockGained(milliseconds: number): void {
    this.admission.rate.clockGained(milliseconds);
  }

  isDoubted(now: number): boolean {
    return this.doubt.isDoubted(now);
  }

  /** The evidence that last began or renewed doubt, for logs. */
  get doubtCause(): string {
    return this.doubt.cause;
  }

  /** Why calls are refused as 'upstream-doubted'; undefined when none are. */
  doubtReason(now: number): DoubtReason | undefined {
    return this.doubt.reason(now, this.isIdle);
  }

  hint(now: number): LoadHint {
    const isLimited = this.settings.limitsSuspects && this.standing.isSuspect;
    const limit = isLimited
      ? Math.max(1, this.admission.currentLimit * SUSPECT_LIMIT_SHARE)
      : this.admission.currentLimit;
    const {admission, doubt, notice, incarnationName: incarnation} = this;
    const announcedRetries = this.settings.announcesCapacity
      ? this.retries
      : undefined;
    const rejectedShare = this.rejections.at(now);
    return upstreamHint(now, this.announcedState(now), limit, {
      admission,
      doubt,
      notice,
      incarnation,
      announcedRetries,
      rejectedShare,
    });
  }

  /** What limits the calls to the upstream at this time. */
  limits(now: number): GuardLimits {
    const {currentLimit, runningCount, limit} = this.admission;
    const {loweredAt} = limit;
    const retriesLeft = this.retries.retriesLeft(now);
    return {
      concurrencyLimit: currentLimit,
      running: runningCount,
      concurrencyLimitAge:
        loweredAt === undefined ? undefined : Math.round(now - loweredAt),
      retriesLeft: Number.isFinite(retriesLeft) ? retriesLeft : undefined,
    };
  }

  /** The last durations of each kind of call. */
  get recentDurations(): RecentDurations {
    return this.durations.recent;
  }

  /** Why calls of this kind are refused now; undefined if they are accepted. */
  refusalReason(now: number, call: GuardCall): RefusalReason | undefined {
    const {isDraining, isReplaced, isIdle} = this;
    const condition = {isDraining, isReplaced, isIdle};
    return this.refusals.reason(now, call, condition);
  }

  /** Remaining duration of doubt or ejection, in milliseconds. */
  remainingHold(now: number): number {
    return Math.ceil(
      Math.max(this.standing.remainingHold(now), this.doubt.remaining(now)),
    );
  }

  /** Milliseconds after which a refused call may be offered again. */
  retryAfter(now: number): number {
    return Math.max(
      this.remainingHold(now),
      Math.ceil(this.admission.waitForLimit(now)),
    );
  }

  offer(now: number, call: GuardCall): AdmissionDecision {
    const precedence = this.settings.tracksNestedCalls
      ? precedenceOf(call)
      : 'ordinary';
    const usual = this.durations.usual(now, call);
    const waiting = toWaitingCall(call, usual, precedence);
    const offer = this.admission.offer(now, waiting);
    if (offer.kind === 'start') {
      this.start(now, call);
    }
    return offer;
  }

  /** Records that a call got its slot; it is not sent yet. */
  start(now: number, call: GuardCall): void {
    this.running.set(call.id, {call, startedAt: now, isSent: false});
    this.doubt.started(now, this.durations.expected(now, call));
  }

  /** Sends a call that has its slot; false if the retry budget is exhausted. */
  send(now: number, call: GuardCall): boolean {
    if (!chargeRetryBudget(now, call, this.retries)) {
      return false;
    }
    this.running.set(call.id, {call, startedAt: now, isSent: true});
    this.admission.limit.sent(call.id);
    this.doubt.sent(now, call.id, this.durations.expected(now, call));
    return true;
  }

  /** Releases the slot of a call without counting its outcome. */
  release(now: number, callId: string): DispatchResult {
    this.doubt.forget(callId);
    this.running.delete(callId);
    return this.admission.finish(now, callId, undefined);
  }

  /** Releases the slot of a call that never reached the upstream. */
  releaseUnsent(now: number, callId: string): DispatchResult {
    this.doubt.forget(callId);
    this.running.delete(callId);
    return this.admission.release(now, callId);
  }

  /** Handles a call that the upstream refused without running it. */
  refused(
    now: number,
    callId: string,
    reason: 'upstream-refused' | 'upstream-replaced',
  ): DispatchResult {
    const isRejected = reason === 'upstream-refused';
    this.rejections.observe(now, isRejected);
    if (isRejected) {
      this.admission.limit.rejected(now, callId);
    } else {
      this.isReplaced = true;
      // Its entry takes the call elsewhere at no cost, but it has arrived here.
      this.retries.repeatArrived(now);
    }
    this.observe(now, callId, 'refused');
    return this.release(now, callId);
  }

  withdraw(callId: string): boolean {
    return this.admission.withdraw(callId);
  }

  /** Calls that are waiting for a slot. */
  waiting(): readonly WaitingCall[] {
    return this.admission.waiting();
  }

  withdrawAll(): readonly WaitingCall[] {
    return this.admission.drainQueue();
  }

  /** Handles a complete answer. */
  answered(
    now: number,
    callId: string,
    {status, isShed, isExplained}: UpstreamResult,
  ): CallEnd {
    this.rejections.observe(now, isShed);
    const isFailure =
      status >= FIRST_SERVER_ERROR_STATUS && status !== NOT_IMPLEMENTED_STATUS;
    if (isShed) {
      this.admission.shed(now, callId);
    } else {
      this.admission.limit.accepted(now, callId, !isFailure);
    }
    if (isFailure && this.isExcused(now, isExplained)) {
      this.doubt.forget(callId);
      return this.ended(now, callId, false);
    }
    const isError = isFailure && !isShed;
    if (!isFailure) {
      this.durations.add(now, this.running.get(callId));
    }
    this.observe(
      now,
      callId,
      isError ? 'error' : this.successEvidence(now, callId),
    );
    return this.ended(now, callId, isError);
  }

  private isExcused(now: number, isExplained: boolean): boolean {
    return (
      (isExplained && this.settings.excusesFailures) ||
      this.ownCallFailures.explainsFailure(now)
    );
  }

  /** Records that a call from this box, possibly by the upstream, failed. */
  ownCallFailed(now: number): void {
    this.ownCallFailures.failed(now);
  }

  /** Handles an exchange that broke or exceeded its deadline. */
  failed(now: number, callId: string, isUpstreamFault: boolean): CallEnd {
    if (isUpstreamFault) {
      this.observe(now, callId, 'broken');
      return this.ended(now, callId, true);
    }
    return {freed: this.release(now, callId), change: undefined};
  }

  /** Whether a call was sent and has not ended. */
  isSent(callId: string): boolean {
    return this.running.get(callId)?.isSent === true;
  }

  /** Whether a running call has taken far longer than is usual for its kind. */
  isOverdue(now: number, callId: string): boolean {
    const running = this.running.get(callId);
    return running !== undefined && this.standing.isOverdue(now, running);
  }

  review(now: number): {
    readonly freed: DispatchResult;
    readonly changes: readonly StandingChange[];
  } {
    if (this.incarnation === undefined) {
      this.notice.recheck(now);
    }
    this.doubt.review(now, this.running.keys());
    const changes = this.standing.review(now, this.running.values());
    return {freed: this.admission.expireAndStart(now), changes};
  }

  /** The report to the permit holder. */
  report(
    now: number,
    identity: {readonly box: string; readonly incarnation: string},
    fence: Fence,
  ): GuardReport {
    const {usableSlots} = this.admission;
    return {
      ...this.standing.report(now, identity, fence, this.isDraining),
      ...(usableSlots !== undefined && {usableSlots}),
    };
  }

  private announcedState(now: number): LoadHint['state'] {
    if (this.isDraining || this.isReplaced) {
      return 'draining';
    }
    if (this.isDoubted(now) || this.doubt.isUncertain(now, this.isIdle)) {
      return 'doubted';
    }
    const {state} = this.standing;
    return state === 'in-service' || state === 'condemned'
      ? 'accepting'
      : state;
  }

  /** Whether a successful call took far longer than is usual for its kind. */
  private successEvidence(now: number, callId: string): CallEvidenceKind {
    const running = this.running.get(callId);
    return this.durations.isLate(now, running) ? 'slow' : 'well';
  }

  private observe(now: number, callId: string, kind: CallEvidenceKind): void {
    this.doubt.observe(now, callId, this.running.get(callId)?.startedAt, kind);
  }

  private ended(now: number, callId: string, failed: boolean): CallEnd {
    const running = this.running.get(callId);
    this.running.delete(callId);
    if (running === undefined) {
      return {freed: {started: [], expired: []}, change: undefined};
    }
    const change = this.standing.ended(now, running, failed);
    if (change?.change === 'returned') {
      this.admission.limit.resetToCold();
    }
    // The duration of a failed call is no measure of how long slots are held.
    const milliseconds = failed ? undefined : now - running.startedAt;
    const freed = this.admission.finish(now, callId, milliseconds);
    return {freed, change};
  }
}
