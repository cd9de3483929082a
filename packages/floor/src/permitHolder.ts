// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Gives the permits of one service so that ejection spares its floor. */

import {peerBaseline} from '@lockpin/detection';
import type {PeerBaseline} from '@lockpin/detection';
import {comparePositions} from '@lockpin/utils';
import type {
  DenialReason,
  Fence,
  GuardReport,
  HolderReply,
} from './messages.js';

/** An upstream as the configuration has it. */
export interface RegisteredUpstream {
  readonly name: string;
  readonly slots: number;
  readonly inService: boolean;
}

/** What the holder goes by. */
export interface HolderView {
  readonly floorSlots: number;
  readonly settleMilliseconds: number;
  readonly upstreams: readonly RegisteredUpstream[];
}

/** A report older than this says nothing of its upstream any more. */
export const REPORT_LIFE_MILLISECONDS = 6500;

/** Share of a service's upstreams that may be suspect for causes of their own. */
const OWN_CAUSE_SHARE = 0.34;

/** Once the norm has followed, suspicion goes; that it was there still counts. */
const SUSPICION_KEPT_MILLISECONDS = 8000;

interface Permit {
  readonly incarnation: string;
  readonly request: number;
}

interface KnownGuard {
  report: GuardReport;
  heardAt: number;
  condemnedSince: number | undefined;
  suspectAt: number;
  permit: Permit | undefined;
}

/**
 * Knows nothing when it begins, and counts each upstream whose guard has not
 * acknowledged its fence as already ejected. So a permit that an earlier
 * holder gave, or may still give, is always counted, and no clock takes part
 * in the promise: time is used only to count more upstreams as lost.
 */
export class PermitHolder {
  private readonly guards = new Map<string, KnownGuard>();

  constructor(
    readonly fence: Fence,
    private view: HolderView,
  ) {}

  /** The configuration changed. */
  setView(view: HolderView): void {
    this.view = view;
  }

  /** Takes in a report and decides on what it asks for. */
  report(now: number, report: GuardReport): HolderReply {
    if (comparePositions(report.fence, this.fence) !== 0) {
      return this.reply(now, report, denied('fence-unknown'));
    }
    const known = this.take(now, report);
    if (known === undefined) {
      return this.reply(now, report, {kind: 'none'});
    }
    return this.reply(now, report, this.decide(now, report, known));
  }

  /** Slots that certainly take work: all others count as lost. */
  availableSlots(now: number): number {
    return this.view.upstreams
      .filter((upstream) => this.isAvailable(now, upstream))
      .reduce((sum, {slots}) => sum + slots, 0);
  }

  private take(now: number, report: GuardReport): KnownGuard | undefined {
    const known = this.guards.get(report.upstream);
    if (known === undefined) {
      return this.remember(now, report, undefined);
    }
    const {incarnation, sequence} = known.report;
    if (report.incarnation === incarnation) {
      if (report.sequence <= sequence) {
        return undefined;
      }
      return this.remember(now, report, known);
    }
    return report.incarnation > incarnation
      ? this.remember(now, report, undefined)
      : undefined;
  }

  private remember(
    now: number,
    report: GuardReport,
    before: KnownGuard | undefined,
  ): KnownGuard {
    const condemned = report.state === 'condemned';
    const known: KnownGuard = {
      report,
      heardAt: now,
      suspectAt: report.suspect
        ? now
        : (before?.suspectAt ?? Number.NEGATIVE_INFINITY),
      condemnedSince: condemned ? (before?.condemnedSince ?? now) : undefined,
      permit: this.permitAfter(report, before?.permit),
    };
    this.guards.set(report.upstream, known);
    return known;
  }

  /** A permit stands until its guard has moved on to a later request. */
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
    known: KnownGuard,
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
    const short = this.availableSlots(now) < this.view.floorSlots;
    if (short && this.isLeastSick(now, report)) {
      return {kind: 'revoked', request};
    }
    return report.state === 'condemned'
      ? {kind: 'granted', request}
      : {kind: 'none'};
  }

  private denial(
    now: number,
    report: GuardReport,
    known: KnownGuard,
  ): DenialReason | undefined {
    const upstream = this.registered(report.upstream);
    if (upstream === undefined) {
      return 'not-registered';
    }
    const since = known.condemnedSince ?? now;
    if (now - since < this.view.settleMilliseconds) {
      return 'settling';
    }
    if (this.isSharedCause(now)) {
      return 'shared-cause';
    }
    const own = this.isAvailable(now, upstream) ? upstream.slots : 0;
    const left = this.availableSlots(now) - own;
    return left < this.view.floorSlots ? 'floor' : undefined;
  }

  /** When many worsen together it is load, or something they all depend on. */
  private isSharedCause(now: number): boolean {
    const fresh = [...this.guards.values()].filter((guard) =>
      this.isFresh(now, guard),
    );
    const suspect = fresh.filter(
      ({suspectAt}) => now - suspectAt <= SUSPICION_KEPT_MILLISECONDS,
    ).length;
    return suspect > Math.max(1, Math.floor(fresh.length * OWN_CAUSE_SHARE));
  }

  private isLeastSick(now: number, report: GuardReport): boolean {
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

  private isFresh(now: number, guard: KnownGuard): boolean {
    return now - guard.heardAt <= REPORT_LIFE_MILLISECONDS;
  }

  private registered(name: string): RegisteredUpstream | undefined {
    return this.view.upstreams.find((upstream) => upstream.name === name);
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

  /** Only of the kinds that the guard reports: it has no use for others. */
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
