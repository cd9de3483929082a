// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Runs the upstream of a box and replaces it when it leaves or crashes. */

import {setTimeout as pause} from 'node:timers/promises';
import {UpstreamAnnouncer, UpstreamStandIn} from '@lockpin/platform-stand-ins';
import type {RandomSource} from '@lockpin/types';
import type {LinkProxy} from './linkProxy.js';
import type {DrainRecord} from './soakHistory.js';

/** Service time of a request. */
const WORK_MILLISECONDS = 15;

const UPSTREAM_SLOTS = 4;

/** Interval between announcements of an upstream. */
const HEARTBEAT_INTERVAL_MILLISECONDS = 300;

/** An upstream leaves after this even if its drain is not acknowledged. */
const DRAIN_TIMEOUT_MILLISECONDS = 3000;

/** Time served past the drain limit, so that late calls are recorded. */
const LINGER_MILLISECONDS = 1500;

/** Time for which an upstream states that it is leaving before it ends. */
const STATED_LEAVING_MILLISECONDS = 4000;

/** One upstream process of a box. */
export interface UpstreamInstance {
  /** Unique identity of the process, even among restarts under the same id. */
  readonly process: string;
  readonly standIn: UpstreamStandIn;
  readonly service: string;
  readonly announcer: UpstreamAnnouncer;
  state: 'ready' | 'draining' | 'gone';
  /** When its first announcement was acknowledged; Infinity before that. */
  readyFrom: number;
  /** When it began to leave, or ended; Infinity before that. */
  readyUntil: number;
}

/** Options for the upstreams of a box. */
export interface BoxUpstreamsOptions {
  readonly box: string;
  readonly service: string;
  /** Address on which the node of the box receives announcements. */
  readonly announcementAddress: string;
  /** Link between the node and the current upstream. */
  readonly link: LinkProxy;
  readonly random: RandomSource;
  /** Limit after an acknowledged drain for calls to stop arriving. */
  readonly drainMilliseconds: number;
  readonly isOver: () => boolean;
  readonly onDrained: (drain: DrainRecord) => void;
}

/** Runs at most one upstream of its box at a time. */
export class BoxUpstreams {
  private readonly instances: UpstreamInstance[] = [];
  private linkAddress = '';

  constructor(private readonly options: BoxUpstreamsOptions) {}

  /** All upstreams so far, ending with the current one. */
  get all(): readonly UpstreamInstance[] {
    return this.instances;
  }

  /** The current upstream. */
  get current(): UpstreamInstance | undefined {
    return this.instances.at(-1);
  }

  /** Starts the link and the first upstream. */
  async start(): Promise<void> {
    this.linkAddress = await this.options.link.start();
    await this.startNext();
  }

  /** Announces the current upstream periodically until the soak is over. */
  async announcePeriodically(): Promise<void> {
    const {announcementAddress, isOver} = this.options;
    while (!isOver()) {
      const {current} = this;
      if (current !== undefined && current.state !== 'gone') {
        const {state} = current;
        if (await current.announcer.say(announcementAddress, state)) {
          current.readyFrom = Math.min(current.readyFrom, Date.now());
        }
      }
      await pause(HEARTBEAT_INTERVAL_MILLISECONDS);
    }
  }

  /** Drains the upstream, lets it leave and starts its replacement. */
  async replace(): Promise<void> {
    const leaving = this.current;
    if (leaving?.state !== 'ready') {
      return;
    }
    leaving.state = 'draining';
    leaving.readyUntil = Date.now();
    const {process} = leaving;
    const {box, drainMilliseconds, onDrained} = this.options;
    const isAcknowledged = await this.announceDrain(leaving);
    if (isAcknowledged) {
      onDrained({lifetime: process, box, acknowledgedAt: Date.now()});
      await pause(drainMilliseconds + LINGER_MILLISECONDS);
    }
    await leaving.announcer.leave(this.options.announcementAddress);
    await this.crash();
  }

  /**
   * Lets the upstream leave without an announcement: only its answers state it,
   * while its heartbeats go on.
   */
  async leaveByStatement(): Promise<void> {
    const leaving = this.current;
    if (leaving?.state !== 'ready' || leaving.standIn.isLeaving) {
      return;
    }
    leaving.standIn.isLeaving = true;
    leaving.readyUntil = Date.now();
    await pause(STATED_LEAVING_MILLISECONDS);
    if (this.current === leaving) {
      await this.crash();
    }
  }

  /** Sends an announcement with invalid fields in the upstream's name. */
  async announceModified(fields: object): Promise<void> {
    const {announcementAddress} = this.options;
    await this.current?.announcer.announceModified(announcementAddress, fields);
  }

  /** Stops the upstream without notice and starts its replacement. */
  async crash(keepsId = false): Promise<void> {
    const previous = this.current;
    if (previous !== undefined) {
      previous.state = 'gone';
      previous.readyUntil = Math.min(previous.readyUntil, Date.now());
      previous.standIn.stop();
    }
    if (!this.options.isOver()) {
      const id = keepsId ? previous?.standIn.lifetime : undefined;
      await this.startNext(id);
    }
  }

  /** Stops all upstreams. */
  stop(): void {
    this.instances.forEach(({standIn}) => standIn.stop());
  }

  private async announceDrain({announcer}: UpstreamInstance): Promise<boolean> {
    const {announcementAddress, isOver} = this.options;
    const deadline = Date.now() + DRAIN_TIMEOUT_MILLISECONDS;
    while (Date.now() < deadline && !isOver()) {
      if (await announcer.say(announcementAddress, 'draining')) {
        return true;
      }
      await pause(HEARTBEAT_INTERVAL_MILLISECONDS);
    }
    return false;
  }

  private async startNext(id?: string): Promise<void> {
    const {box, service, link, random} = this.options;
    const lifetime = id ?? `i-${box}-${this.instances.length + 1}`;
    const startedAt = Date.now();
    const standIn = new UpstreamStandIn(lifetime, random);
    standIn.workMilliseconds = WORK_MILLISECONDS;
    link.retarget(await standIn.start());
    const announcer = new UpstreamAnnouncer({
      lifetime,
      startedAt,
      service,
      address: this.linkAddress,
      slots: UPSTREAM_SLOTS,
    });
    const process = `${lifetime}@${startedAt}`;
    this.instances.push({
      process,
      standIn,
      service,
      announcer,
      state: 'ready',
      readyFrom: Number.POSITIVE_INFINITY,
      readyUntil: Number.POSITIVE_INFINITY,
    });
  }
}
