// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Claims, serves and gives up the permit holder role of services. */

import type {ConfigurationState, ServiceView} from '@lockpin/configuration';
import {DETECTION_SETTINGS} from '@lockpin/detection';
import {HolderTable, NO_FENCE, PermitHolder} from '@lockpin/floor';
import type {
  Fence,
  GuardReport,
  HolderReply,
  HolderSettings,
} from '@lockpin/floor';
import {isUsable} from '@lockpin/membership';
import type {Member, Membership} from '@lockpin/membership';
import type {Era, StreamPosition} from '@lockpin/types';
import {isLaterPosition, laterPosition, stableHash} from '@lockpin/utils';
import type {ControlAction, HolderEntry} from './controlMessages.js';

/** Time that a holder must be missing before it is replaced. */
const HOLDER_TIMEOUT_MILLISECONDS = 1500;

/** Additional delay per rank among the candidates. */
const RANK_DELAY_MILLISECONDS = 2000;

/** A claim that is not read back from the log is repeated after this. */
const CLAIM_RETRY_MILLISECONDS = 5000;

/** Permits of a service are held by a node that guards one of its upstreams. */
export class HolderRole {
  private readonly table = new HolderTable();
  private readonly held = new Map<string, PermitHolder>();
  private readonly missingSince = new Map<string, number>();
  private readonly claimedAt = new Map<string, number>();
  /** Position after the last known record of the holders stream. */
  position: StreamPosition = {era: 0, offset: 0};

  constructor(private readonly membership: Membership) {}

  /** Applies a holder record, from the log or a peer. */
  apply(entry: HolderEntry): readonly ControlAction[] {
    const {service, box, fence} = entry;
    this.advancePosition({...fence, offset: fence.offset + 1});
    if (!this.table.apply(fence, entry)) {
      return [];
    }
    const isSelf =
      box === this.membership.own.box &&
      entry.incarnation === this.membership.own.incarnation;
    this.held.delete(service);
    if (isSelf) {
      this.held.set(service, new PermitHolder(fence, EMPTY_VIEW));
    }
    this.missingSince.delete(service);
    return [
      {kind: 'fence-learnt', service, fence},
      {
        kind: 'timeline',
        event: 'permit-holder-named',
        subject: service,
        detail: {holder: box, era: fence.era, offset: fence.offset},
      },
    ];
  }

  /** Advances the position up to which the stream is known. */
  advancePosition(position: StreamPosition): void {
    this.position = laterPosition(this.position, position);
  }

  /** Reads the holders of a restored log from its beginning. */
  logRestored(era: Era): void {
    this.advancePosition({era, offset: 0});
  }

  /** Entries from a position on, for a peer that lacks them. */
  entriesFrom(position: StreamPosition): readonly HolderEntry[] {
    const entries: HolderEntry[] = [];
    for (const [service, holder] of this.table.entries()) {
      if (!isLaterPosition(position, holder.fence)) {
        entries.push({kind: 'holder', service, ...holder});
      }
    }
    return entries;
  }

  /** Receiver of the reports; undefined while nobody holds the permits. */
  holderOf(service: string): Member | undefined {
    const holder = this.table.get(service);
    const member = holder && this.membership.get(holder.box);
    return member?.incarnation === holder?.incarnation ? member : undefined;
  }

  /** Fencing token of a service's holder. */
  fenceOf(service: string): Fence {
    return this.table.get(service)?.fence ?? NO_FENCE;
  }

  /** Answers reports if this node holds the permits, else undefined. */
  answer(
    now: number,
    state: ConfigurationState,
    service: string,
    reports: readonly GuardReport[],
  ): readonly HolderReply[] | undefined {
    const holder = this.held.get(service);
    const view = state.service(service);
    if (holder === undefined || view === undefined) {
      return undefined;
    }
    holder.configure(holderView(view));
    return reports.map((report) => holder.report(now, report));
  }

  /** Claims the permits of services whose holder is missing. */
  tick(now: number, state: ConfigurationState): readonly ControlAction[] {
    const {own} = this.membership;
    const actions: ControlAction[] = [];
    for (const service of state.servicesOfBox(own.box)) {
      const view = state.service(service);
      if (view !== undefined && own.state === 'alive') {
        actions.push(...this.claimIfMissing(now, view));
      }
    }
    return actions;
  }

  private claimIfMissing(
    now: number,
    view: ServiceView,
  ): readonly ControlAction[] {
    const service = view.name;
    if (this.hasHolder(view)) {
      this.missingSince.delete(service);
      return [];
    }
    const since = this.missingSince.get(service) ?? now;
    this.missingSince.set(service, since);
    const delay =
      HOLDER_TIMEOUT_MILLISECONDS +
      RANK_DELAY_MILLISECONDS * this.ownRank(view);
    const claimed = this.claimedAt.get(service) ?? Number.NEGATIVE_INFINITY;
    if (now - since < delay || now - claimed < CLAIM_RETRY_MILLISECONDS) {
      return [];
    }
    this.claimedAt.set(service, now);
    const {box, incarnation} = this.membership.own;
    const value = {kind: 'holder', service, box, incarnation};
    const token = `holder ${service}`;
    return [{kind: 'append', token, stream: 'holders', value}];
  }

  private hasHolder(view: ServiceView): boolean {
    const member = this.holderOf(view.name);
    return member !== undefined && isUsable(member);
  }

  /** Number of usable candidates ranked before this node. */
  private ownRank(view: ServiceView): number {
    const boxes = new Set(view.upstreams.map(({spec}) => spec.box));
    const rank = (box: string): number => stableHash(`${view.name} ${box}`);
    const ownRank = rank(this.membership.own.box);
    return [...boxes].filter((box) => {
      const member = this.membership.get(box);
      return member !== undefined && isUsable(member) && rank(box) < ownRank;
    }).length;
  }
}

const EMPTY_VIEW: HolderSettings = {
  floorSlots: Number.POSITIVE_INFINITY,
  settleMilliseconds: 0,
  upstreams: [],
};

function holderView(view: ServiceView): HolderSettings {
  const {floorSlots, sensitivity} = view.service.spec;
  return {
    floorSlots,
    settleMilliseconds: DETECTION_SETTINGS[sensitivity].settleMilliseconds,
    upstreams: view.upstreams.map(({name, spec}) => ({
      name,
      slots: spec.slots,
      inService: spec.state === 'in-service',
    })),
  };
}
