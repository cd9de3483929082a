// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Grants ejection permits for one service without undercutting its floor. */

import {peerBaseline} from '@lockpin/detection';
import type {PeerBaseline} from '@lockpin/detection';
import {comparePositions} from '@lockpin/utils';
import type {
  DenialReason,
  Fence,
  GuardReport,
  HolderReply,
} from './messages.js';

/** An upstream according to the configuration. */
export interface RegisteredUpstream {
  readonly name: string;
  readonly slots: number;
  readonly inService: boolean;
}

/** Configuration of the holder for one service. */
export interface HolderSettings {
  readonly floorSlots: number;
  readonly settleMilliseconds: number;
  readonly upstreams: readonly RegisteredUpstream[];
}

/** After this long without a report, an upstream counts as unavailable. */
export const REPORT_LIFETIME_MILLISECONDS = 6500;

/** If a larger share of upstreams is suspect, a shared cause is assumed. */
const SHARED_CAUSE_SHARE = 0.34;

/**
 * Suspicion counts for this long after it ends. When many upstreams degrade
 * together, the baseline follows and they soon are no longer suspect.
 */
const SUSPICION_RETENTION_MILLISECONDS = 8000;

interface Permit {
  readonly incarnation: string;
  readonly request: number;
}

interface GuardState {
  report: GuardReport;
  receivedAt: number;
  condemnedSince: number | undefined;
  suspectAt: number;
  permit: Permit | undefined;
}

/**
 * Starts without state and counts each upstream whose guard has not
 * acknowledged its fence as ejected. This covers every permit that an earlier
 * holder granted or may still grant. The guarantee does not depend on clocks:
 * time is only used to count more upstreams as unavailable.
 */
export class PermitHolder {
  private readonly guards = new Map<string, GuardState>();

  constructor(
    readonly fence: Fence,
    private settings: HolderSettings,
  ) {}

  configure(settings: HolderSettings): void {
    this.settings = settings;
  }

  /** Processes a report and decides on its permit request. */
  report(now: number, report: GuardReport): HolderReply {
    if (comparePositions(report.fence, this.fence) !== 0) {
      return this.reply(now, report, denied('fence-unknown'));
    }
    const known = this.acceptReport(now, report);
    if (known === undefined) {
      return this.reply(now, report, {kind: 'none'});
    }
    return this.reply(now, report, this.decide(now, report, known));
  }

  /** Slots that certainly accept calls; all others count as unavailable. */
  availableSlots(now: number): number {
    return this.settings.upstreams.reduce(
      (sum, upstream) => sum + this.slotsOf(now, upstream),
      0,
    );
  }

  private acceptReport(
    now: number,
    report: GuardReport,
  ): GuardState | undefined {
    const known = this.guards.get(report.upstream);
    if (known === undefined) {
      return this.storeReport(now, report, undefined);
    }
    const {incarnation, sequence} = known.report;
    if (report.incarnation === incarnation) {
      if (report.sequence <= sequence) {
        return undefined;
      }
      return this.storeReport(now, report, known);
    }
    return report.incarnation > incarnation
      ? this.storeReport(now, report, undefined)
      : undefined;
  }

  private storeReport(
    now: number,
    report: GuardReport,
    before: GuardState | undefined,
  ): GuardState {
    const condemned = report.state === 'condemned';
    const known: GuardState = {
      report,
      receivedAt: now,
      suspectAt: report.suspect
        ? now
        : (before?.suspectAt ?? Number.NEGATIVE_INFINITY),
      condemnedSince: condemned ? (before?.condemnedSince ?? now) : undefined,
      permit: this.permitAfter(report, before?.permit),
    };
    this.guards.set(report.upstream, known);
    return known;
  }

  /** A permit stays valid until its guard has moved on to a later request. */
  private permitAfter(
    report: GuardReport,
    permit: Permit | undefined,
  ): Permit | undefined {
    const {incarnation, request, state} = report;
    if (state === 'ejected' || state === 'probation') {
      return {incarnation, request};
    }
    return permit !== undefined && permit.request >= request
      ? permit
      : undefined;
  }

  private decide(
    now: number,
    report: GuardReport,
    known: GuardState,
  ): HolderReply['decision'] {
    if (known.permit !== undefined) {
      return this.keepOrRevoke(now, report, known.permit);
    }
    if (report.state !== 'condemned') {
      return {kind: 'none'};
    }
    const reason = this.denial(now, report, known);
    if (reason !== undefined) {
      return denied(reason);
    }
    const {incarnation, request} = report;
    known.permit = {incarnation, request};
    return {kind: 'granted', request};
  }

  private keepOrRevoke(
    now: number,
    report: GuardReport,
    permit: Permit,
  ): HolderReply['decision'] {
    const {request} = permit;
    const isBelowFloor = this.availableSlots(now) < this.settings.floorSlots;
    if (isBelowFloor && this.isLeastSevere(now, report)) {
      return {kind: 'revoked', request};
    }
    return report.state === 'condemned'
      ? {kind: 'granted', request}
      : {kind: 'none'};
  }

  private denial(
    now: number,
    report: GuardReport,
    known: GuardState,
  ): DenialReason | undefined {
    const upstream = this.registeredUpstream(report.upstream);
    if (upstream === undefined) {
      return 'not-registered';
    }
    const since = known.condemnedSince ?? now;
    if (now - since < this.settings.settleMilliseconds) {
      return 'settling';
    }
    if (this.isSharedCause(now)) {
      return 'shared-cause';
    }
    const left = this.availableSlots(now) - this.slotsOf(now, upstream);
    return left < this.settings.floorSlots ? 'floor' : undefined;
  }

  /** Many upstreams degrading together point to load or a shared dependency. */
  private isSharedCause(now: number): boolean {
    const fresh = [...this.guards.values()].filter((guard) =>
      this.isFresh(now, guard),
    );
    const suspect = fresh.filter(
      ({suspectAt}) => now - suspectAt <= SUSPICION_RETENTION_MILLISECONDS,
    ).length;
    return suspect > Math.max(1, Math.floor(fresh.length * SHARED_CAUSE_SHARE));
  }

  private isLeastSevere(now: number, report: GuardReport): boolean {
    const permitted = [...this.guards.values()].filter(
      (guard) => guard.permit !== undefined && this.isFresh(now, guard),
    );
    return permitted.every(
      (guard) =>
        guard.report.upstream === report.upstream ||
        guard.report.severity > report.severity ||
        (guard.report.severity === report.severity &&
          guard.report.upstream > report.upstream),
    );
  }

  /** Slots of an upstream that certainly accept calls. */
  private slotsOf(now: number, upstream: RegisteredUpstream): number {
    const usable = this.guards.get(upstream.name)?.report.usableSlots;
    return this.isAvailable(now, upstream)
      ? Math.min(upstream.slots, usable ?? upstream.slots)
      : 0;
  }

  private isAvailable(now: number, upstream: RegisteredUpstream): boolean {
    const guard = this.guards.get(upstream.name);
    return (
      upstream.inService &&
      guard !== undefined &&
      guard.permit === undefined &&
      guard.report.state !== 'draining' &&
      this.isFresh(now, guard)
    );
  }

  private isFresh(now: number, guard: GuardState): boolean {
    return now - guard.receivedAt <= REPORT_LIFETIME_MILLISECONDS;
  }

  private registeredUpstream(name: string): RegisteredUpstream | undefined {
    return this.settings.upstreams.find((upstream) => upstream.name === name);
  }

  private reply(
    now: number,
    report: GuardReport,
    decision: HolderReply['decision'],
  ): HolderReply {
    return {
      upstream: report.upstream,
      fence: this.fence,
      decision,
      baseline: this.baselineFor(now, report),
    };
  }

  /** Limited to the kinds of call that the guard reports. */
  private baselineFor(now: number, report: GuardReport): PeerBaseline {
    const kinds = new Set(Object.keys(report.summary.calls));
    const peers = [...this.guards.values()].filter(
      (guard) =>
        guard.report.upstream !== report.upstream &&
        guard.permit === undefined &&
        this.isFresh(now, guard),
    );
    return peerBaseline(
      peers.map((peer) => peer.report.summary),
      kinds,
    );
  }
}

function denied(reason: DenialReason): HolderReply['decision'] {
  return {kind: 'denied', reason};
}
