// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tracks the upstream of this box by its announcements. */

import type {UpstreamIncarnation} from '@lockpin/types';
import {incarnationText, isSameIncarnation} from '@lockpin/utils';

/** An announcement by an upstream. */
export interface UpstreamAnnouncement {
  /** The announcing process; its start time is 0 if it does not send one. */
  readonly incarnation: UpstreamIncarnation;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining' | 'gone';
  /** The upstream answers slowly for this much longer, in milliseconds. */
  readonly coldMilliseconds: number;
  /**
   * Rises with each announcement of an incarnation, so a late one has a lower
   * number.
   */
  readonly sequence: number;
  /** Program version; undefined if it does not send one. */
  readonly program?: string | undefined;
}

/** The current state of the upstream. */
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

/** Why an announcement is rejected. */
export interface AnnouncementProblem {
  readonly field: 'startedAt' | 'service' | 'address';
  readonly problem: string;
}

/** The effect of an announcement. */
export type AnnouncementResult =
  | {readonly kind: 'changed'}
  /** It contained nothing new or arrived late. */
  | {readonly kind: 'unchanged'}
  | {readonly kind: 'refused'; readonly problem: AnnouncementProblem};

const CHANGED: AnnouncementResult = {kind: 'changed'};

const UNCHANGED: AnnouncementResult = {kind: 'unchanged'};

/**
 * Number of incarnations and ids remembered, so that a late announcement does
 * not revive an ended one.
 */
const MAXIMUM_REMEMBERED = 64;

/** Number of processes that have left in the record of a box. */
export const MAXIMUM_LEFT = 4;

/**
 * Maximum delay of an announcement. For this long after a new process reused an
 * id, a leave without a start time may be from its predecessor; it is refused,
 * and a sender that is still leaving repeats it.
 */
const MAXIMUM_DELAY_MILLISECONDS = 5000;

/**
 * Follows the announcements. An incarnation that announced that it drains or
 * leaves never takes work again: the node has acknowledged this, and others
 * rely on it. The start time is compared before the sequence number, which
 * restarts with each process.
 */
export class OwnUpstreamTracker {
  private current: OwnUpstream | undefined;
  /** When a process last reused the id of an earlier one. */
  private idReusedAt = Number.NEGATIVE_INFINITY;
  private readonly ended = new Set<string>();
  /** Processes that ended before this node started, from the record of its box. */
  private readonly endedBefore = new Set<string>();
  /** When the current process last announced that it is ready. */
  private lastReadyAt = Number.NEGATIVE_INFINITY;
  /** Processes that were replaced by one of another id. */
  private readonly replaced = new Set<string>();
  /** The newest start time announced for each id. */
  private readonly newestStarts = new Map<string, number>();

  get upstream(): OwnUpstream | undefined {
    return this.current;
  }

  /** The last processes that have left, oldest first. */
  get left(): readonly string[] {
    const all = new Set([...this.endedBefore, ...this.ended]);
    return [...all].slice(-MAXIMUM_LEFT);
  }

  /**
   * Processes left before this node was restarted. One of them may have been
   * taken for a new one by a late announcement.
   */
  leftBefore(names: readonly string[]): AnnouncementResult {
    for (const name of names) {
      if (!this.ended.has(name)) {
        this.endedBefore.add(name);
        evictOldest(this.endedBefore);
      }
    }
    const {current} = this;
    if (
      current?.takesWork !== true ||
      !names.includes(incarnationText(current.incarnation))
    ) {
      return UNCHANGED;
    }
    this.current = {...current, takesWork: false};
    return CHANGED;
  }

  /**
   * Whether the last process that was heard of announced that it leaves. A node
   * that has just started may know no more of it than that.
   */
  get isLeaving(): boolean {
    return this.current === undefined
      ? this.ended.size > 0
      : !this.current.takesWork;
  }

  /** Applies an announcement. */
  announced(
    now: number,
    announcement: UpstreamAnnouncement,
  ): AnnouncementResult {
    const isLeaving = announcement.state === 'gone';
    if (
      this.lacksStart(announcement) &&
      !(isLeaving && this.isUnambiguous(now))
    ) {
      const problem = 'is missing, though others tell it';
      return {kind: 'refused', problem: {field: 'startedAt', problem}};
    }
    const resolved = this.withKnownStart(announcement);
    if (this.isOfEarlierStart(resolved)) {
      return UNCHANGED;
    }
    this.rememberStart(now, resolved.incarnation);
    return resolved.state === 'ready'
      ? this.handleReady(now, resolved)
      : this.handleLeave(resolved);
  }

  /** A process is leaving, though it may not have announced that. */
  leaving(incarnation: UpstreamIncarnation): AnnouncementResult {
    return this.handleLeave({incarnation, sequence: 0});
  }

  /** Start times are sent by all processes of a deployment or by none. */
  private lacksStart({incarnation}: UpstreamAnnouncement): boolean {
    return incarnation.startedAt === 0 && this.newestStarts.size > 0;
  }

  /**
   * Whether a leave without a start time can only be from the current upstream.
   */
  private isUnambiguous(now: number): boolean {
    return now - this.idReusedAt > MAXIMUM_DELAY_MILLISECONDS;
  }

  /**
   * A leave may omit the start time; it then refers to the newest process of
   * its id.
   */
  private withKnownStart(
    announcement: UpstreamAnnouncement,
  ): UpstreamAnnouncement {
    const {id, startedAt} = announcement.incarnation;
    const known =
      startedAt === 0 ? (this.newestStarts.get(id) ?? 0) : startedAt;
    return {...announcement, incarnation: {id, startedAt: known}};
  }

  private isOfEarlierStart({incarnation}: UpstreamAnnouncement): boolean {
    const {id, startedAt} = incarnation;
    return startedAt < (this.newestStarts.get(id) ?? 0);
  }

  private rememberStart(
    now: number,
    {id, startedAt}: UpstreamIncarnation,
  ): void {
    const known = this.newestStarts.get(id);
    if (startedAt === 0 || startedAt === known) {
      return;
    }
    if (known !== undefined) {
      this.idReusedAt = now;
    }
    this.newestStarts.delete(id);
    this.newestStarts.set(id, startedAt);
    evictOldest(this.newestStarts);
  }

  private handleReady(
    now: number,
    announcement: UpstreamAnnouncement,
  ): AnnouncementResult {
    const {incarnation, sequence, coldMilliseconds} = announcement;
    const name = incarnationText(incarnation);
    if (
      this.ended.has(name) ||
      this.endedBefore.has(name) ||
      this.mayBeOfReplaced(now, incarnation) ||
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
      this.replaced.add(incarnationText(before.incarnation));
      evictOldest(this.replaced);
    }
    this.replaced.delete(incarnationText(incarnation));
    this.lastReadyAt = now;
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

  private handleLeave({
    incarnation,
    sequence,
  }: Pick<
    UpstreamAnnouncement,
    'incarnation' | 'sequence'
  >): AnnouncementResult {
    this.markEnded(incarnation);
    const {current} = this;
    if (
      current === undefined ||
      !current.takesWork ||
      !isSameOrSuccessor(incarnation, current.incarnation)
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

  /**
   * Whether this may be a late announcement of a replaced process that has
   * ended. If the process that replaced it is silent for the maximum delay, the
   * announcement of that one was the late one.
   */
  private mayBeOfReplaced(
    now: number,
    incarnation: UpstreamIncarnation,
  ): boolean {
    return (
      this.replaced.has(incarnationText(incarnation)) &&
      now - this.lastReadyAt <= MAXIMUM_DELAY_MILLISECONDS
    );
  }

  /** A process with another id that started before the current one. */
  private isOfPredecessor({startedAt}: UpstreamIncarnation): boolean {
    const current = this.current?.incarnation.startedAt ?? 0;
    return startedAt > 0 && startedAt < current;
  }

  private markEnded(incarnation: UpstreamIncarnation): void {
    this.ended.add(incarnationText(incarnation));
    evictOldest(this.ended);
  }
}

/**
 * A process that reuses an id ends its predecessor, even if it leaves at once.
 */
function isSameOrSuccessor(
  {id, startedAt}: UpstreamIncarnation,
  known: UpstreamIncarnation,
): boolean {
  return id === known.id && startedAt >= known.startedAt;
}

function evictOldest(remembered: Set<string> | Map<string, unknown>): void {
  if (remembered.size > MAXIMUM_REMEMBERED) {
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
