// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The upstream beside a node, as it announces itself. */

import type {UpstreamIncarnation} from '@lockpin/types';
import {incarnationText, isSameIncarnation} from '@lockpin/utils';

/** What an upstream says of itself. */
export interface UpstreamAnnouncement {
  /** The process that speaks; its start is 0 where it does not tell one. */
  readonly incarnation: UpstreamIncarnation;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining' | 'gone';
  /** It answers slowly for this much longer, in milliseconds. */
  readonly coldMilliseconds: number;
  /** Rises with each announcement of an incarnation; a late one is lower. */
  readonly sequence: number;
  /** Version of its program; undefined where it does not tell one. */
  readonly program?: string | undefined;
}

/** What is known of the upstream now. */
export interface OwnUpstream {
  readonly incarnation: UpstreamIncarnation;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly takesWork: boolean;
  readonly coldUntil: number;
  readonly sequence: number;
  readonly program: string | undefined;
}

/** Why an announcement is not believed. */
export interface AnnouncementProblem {
  readonly field: 'startedAt' | 'service' | 'address';
  readonly problem: string;
}

/** What an announcement led to. */
export type AnnouncementResult =
  | {readonly kind: 'changed'}
  /** It said nothing new, or came late. */
  | {readonly kind: 'unchanged'}
  | {readonly kind: 'refused'; readonly problem: AnnouncementProblem};

const CHANGED: AnnouncementResult = {kind: 'changed'};

const UNCHANGED: AnnouncementResult = {kind: 'unchanged'};

/** Incarnations and ids remembered, so that a late announcement revives none. */
const MOST_REMEMBERED = 64;

/**
 * A word that an upstream leaves may come this late. Within this time after a new
 * process took up an id, such a word without a start may be its predecessor's; it is
 * refused, and who meant it says so again.
 */
const LATE_MILLISECONDS = 5000;

/**
 * Follows the announcements. An incarnation that said it drains or leaves never takes
 * work again: the node has acknowledged that, and others rely on it. The start decides
 * before the sequence, for a new process counts anew.
 */
export class OwnUpstreamTracker {
  private current: OwnUpstream | undefined;
  /** When a process took up the id of an earlier one. */
  private succeededAt = Number.NEGATIVE_INFINITY;
  private readonly ended = new Set<string>();
  /** The newest start that each id told. */
  private readonly starts = new Map<string, number>();

  get upstream(): OwnUpstream | undefined {
    return this.current;
  }

  /** Takes in an announcement. */
  announced(
    now: number,
    announcement: UpstreamAnnouncement,
  ): AnnouncementResult {
    const isLeaving = announcement.state === 'gone';
    if (this.lacksStart(announcement) && !(isLeaving && this.isClear(now))) {
      const problem = 'is missing, though others tell it';
      return {kind: 'refused', problem: {field: 'startedAt', problem}};
    }
    const believed = this.withKnownStart(announcement);
    if (this.isOfEarlierStart(believed)) {
      return UNCHANGED;
    }
    this.rememberStart(now, believed.incarnation);
    return believed.state === 'ready'
      ? this.isReady(now, believed)
      : this.leaves(believed);
  }

  /** A start is told by all processes of a deployment, or by none. */
  private lacksStart({incarnation}: UpstreamAnnouncement): boolean {
    return incarnation.startedAt === 0 && this.starts.size > 0;
  }

  /** Whether a word without a start can only be the upstream's own. */
  private isClear(now: number): boolean {
    return now - this.succeededAt > LATE_MILLISECONDS;
  }

  /** Who leaves need not tell a start: then the newest process of its id is meant. */
  private withKnownStart(
    announcement: UpstreamAnnouncement,
  ): UpstreamAnnouncement {
    const {id, startedAt} = announcement.incarnation;
    const known = startedAt === 0 ? (this.starts.get(id) ?? 0) : startedAt;
    return {...announcement, incarnation: {id, startedAt: known}};
  }

  private isOfEarlierStart({incarnation}: UpstreamAnnouncement): boolean {
    const {id, startedAt} = incarnation;
    return startedAt < (this.starts.get(id) ?? 0);
  }

  private rememberStart(
    now: number,
    {id, startedAt}: UpstreamIncarnation,
  ): void {
    const known = this.starts.get(id);
    if (startedAt === 0 || startedAt === known) {
      return;
    }
    if (known !== undefined) {
      this.succeededAt = now;
    }
    this.starts.delete(id);
    this.starts.set(id, startedAt);
    dropFirstBeyond(this.starts);
  }

  private isReady(
    now: number,
    announcement: UpstreamAnnouncement,
  ): AnnouncementResult {
    const {incarnation, sequence, coldMilliseconds} = announcement;
    if (
      this.ended.has(incarnationText(incarnation)) ||
      this.isLate(announcement) ||
      this.isOfPredecessor(incarnation)
    ) {
      return UNCHANGED;
    }
    const {service, address, slots, program} = announcement;
    const before = this.current;
    if (
      before !== undefined &&
      !isSameIncarnation(before.incarnation, incarnation)
    ) {
      this.end(before.incarnation);
    }
    this.current = {
      incarnation,
      service,
      address,
      slots,
      sequence,
      program,
      takesWork: true,
      coldUntil: coldMilliseconds > 0 ? now + coldMilliseconds : 0,
    };
    return before === undefined || isChanged(before, this.current)
      ? CHANGED
      : UNCHANGED;
  }

  private leaves({
    incarnation,
    sequence,
  }: UpstreamAnnouncement): AnnouncementResult {
    this.end(incarnation);
    const {current} = this;
    if (
      current === undefined ||
      !current.takesWork ||
      !isOrSucceeds(incarnation, current.incarnation)
    ) {
      return UNCHANGED;
    }
    this.current = {
      ...current,
      incarnation,
      takesWork: false,
      sequence: Math.max(sequence, current.sequence),
    };
    return CHANGED;
  }

  private isLate({incarnation, sequence}: UpstreamAnnouncement): boolean {
    return (
      isSameIncarnation(this.current?.incarnation, incarnation) &&
      sequence <= (this.current?.sequence ?? 0)
    );
  }

  /** Another id whose process started before the current one did. */
  private isOfPredecessor({startedAt}: UpstreamIncarnation): boolean {
    const current = this.current?.incarnation.startedAt ?? 0;
    return startedAt > 0 && startedAt < current;
  }

  private end(incarnation: UpstreamIncarnation): void {
    this.ended.add(incarnationText(incarnation));
    dropFirstBeyond(this.ended);
  }
}

/** A process that took up an id ends its predecessor, even if it leaves at once. */
function isOrSucceeds(
  {id, startedAt}: UpstreamIncarnation,
  known: UpstreamIncarnation,
): boolean {
  return id === known.id && startedAt >= known.startedAt;
}

function dropFirstBeyond(remembered: Set<string> | Map<string, unknown>): void {
  if (remembered.size > MOST_REMEMBERED) {
    const [oldest] = remembered.keys();
    remembered.delete(oldest as string);
  }
}

function isChanged(a: OwnUpstream, b: OwnUpstream): boolean {
  return (
    !isSameIncarnation(a.incarnation, b.incarnation) ||
    a.service !== b.service ||
    a.address !== b.address ||
    a.slots !== b.slots ||
    a.program !== b.program ||
    a.takesWork !== b.takesWork
  );
}
