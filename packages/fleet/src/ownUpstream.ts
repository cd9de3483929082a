// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The upstream beside a node, as it announces itself. */

/** What an upstream says of itself. */
export interface UpstreamAnnouncement {
  /** Identity of the process, new with each of its starts. */
  readonly lifetime: string;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining' | 'gone';
  /** It answers slowly for this much longer, in milliseconds. */
  readonly coldMilliseconds: number;
  /** Rises with each announcement of a lifetime; a late one is lower. */
  readonly sequence: number;
}

/** What is known of the upstream now. */
export interface OwnUpstream {
  readonly lifetime: string;
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly takesWork: boolean;
  readonly coldUntil: number;
  readonly sequence: number;
}

/** Lifetimes remembered as ended, so that a late announcement revives none. */
const MOST_ENDED = 64;

/**
 * Follows the announcements. A lifetime that said it drains or leaves never
 * takes work again: the node has acknowledged that, and others rely on it.
 */
export class OwnUpstreamTracker {
  private current: OwnUpstream | undefined;
  private readonly ended = new Set<string>();

  get upstream(): OwnUpstream | undefined {
    return this.current;
  }

  /** Takes in an announcement; true when what is known changed. */
  announced(now: number, announcement: UpstreamAnnouncement): boolean {
    const {lifetime, state} = announcement;
    if (state !== 'ready') {
      return this.leaves(announcement);
    }
    if (this.ended.has(lifetime) || this.isLate(announcement)) {
      return false;
    }
    const {service, address, slots, sequence, coldMilliseconds} = announcement;
    const before = this.current;
    if (before !== undefined && before.lifetime !== lifetime) {
      this.end(before.lifetime);
    }
    this.current = {
      lifetime,
      service,
      address,
      slots,
      sequence,
      takesWork: true,
      coldUntil: coldMilliseconds > 0 ? now + coldMilliseconds : 0,
    };
    return before === undefined || isChanged(before, this.current);
  }

  private leaves({lifetime, sequence}: UpstreamAnnouncement): boolean {
    this.end(lifetime);
    if (this.current?.lifetime !== lifetime || !this.current.takesWork) {
      return false;
    }
    this.current = {
      ...this.current,
      takesWork: false,
      sequence: Math.max(sequence, this.current.sequence),
    };
    return true;
  }

  private isLate({lifetime, sequence}: UpstreamAnnouncement): boolean {
    return (
      this.current?.lifetime === lifetime && sequence <= this.current.sequence
    );
  }

  private end(lifetime: string): void {
    this.ended.add(lifetime);
    if (this.ended.size > MOST_ENDED) {
      const [oldest] = this.ended;
      this.ended.delete(oldest as string);
    }
  }
}

function isChanged(a: OwnUpstream, b: OwnUpstream): boolean {
  return (
    a.lifetime !== b.lifetime ||
    a.service !== b.service ||
    a.address !== b.address ||
    a.slots !== b.slots ||
    a.takesWork !== b.takesWork
  );
}
