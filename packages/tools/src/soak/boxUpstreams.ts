// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The upstreams beside a box's node, one after the other. */

import {setTimeout as pause} from 'node:timers/promises';
import {UpstreamAnnouncer, UpstreamStandIn} from '@lockpin/platform-stand-ins';
import type {RandomSource} from '@lockpin/types';
import type {LinkProxy} from './linkProxy.js';
import type {DrainFact} from './soakFacts.js';

/** Time that upstreams work on a request. */
const WORK_MILLISECONDS = 15;

const UPSTREAM_SLOTS = 4;

/** Upstreams announce themselves this often. */
const HEARTBEAT_MILLISECONDS = 300;

/** A leaving upstream whose drain nobody acknowledges leaves after this. */
const UNHEARD_MILLISECONDS = 3000;

/** Served longer than the promise, so that a late call shows as an arrival. */
const LINGER_MILLISECONDS = 1500;

/** The upstream of a box from its start to its end. */
export interface UpstreamLife {
  /** Tells its process from all others, those with the same id among them. */
  readonly process: string;
  readonly standIn: UpstreamStandIn;
  readonly service: string;
  readonly announcer: UpstreamAnnouncer;
  state: 'ready' | 'draining' | 'gone';
}

/** What the upstreams of a box are started with. */
export interface BoxUpstreamsOptions {
  readonly box: string;
  readonly service: string;
  /** Where the node beside them hears announcements. */
  readonly announcementAddress: string;
  /** Between the node and whichever upstream is there. */
  readonly link: LinkProxy;
  readonly random: RandomSource;
  /** After an acknowledged drain, an upstream gets nothing more. */
  readonly drainMilliseconds: number;
  readonly isOver: () => boolean;
  readonly onDrained: (drain: DrainFact) => void;
}

/** Lives as long as its box. */
export class BoxUpstreams {
  private readonly lives: UpstreamLife[] = [];
  private linkAddress = '';

  constructor(private readonly options: BoxUpstreamsOptions) {}

  /** Every upstream that ever was there; the last is the present one. */
  get all(): readonly UpstreamLife[] {
    return this.lives;
  }

  /** The upstream that is beside the node now. */
  get present(): UpstreamLife | undefined {
    return this.lives.at(-1);
  }

  /** Starts the link and the first upstream. */
  async start(): Promise<void> {
    this.linkAddress = await this.options.link.start();
    await this.startNext();
  }

  /** Announces whichever upstream is there, until the soak is over. */
  async keepAnnouncing(): Promise<void> {
    const {announcementAddress, isOver} = this.options;
    while (!isOver()) {
      const {present} = this;
      if (present !== undefined && present.state !== 'gone') {
        await present.announcer.say(announcementAddress, present.state);
      }
      await pause(HEARTBEAT_MILLISECONDS);
    }
  }

  /** The upstream leaves after it drained; the next one takes its place. */
  async replace(): Promise<void> {
    const leaving = this.present;
    if (leaving?.state !== 'ready') {
      return;
    }
    leaving.state = 'draining';
    const {process} = leaving;
    const {box, drainMilliseconds, onDrained} = this.options;
    const isHeard = await this.isDrainHeard(leaving);
    if (isHeard) {
      onDrained({lifetime: process, box, acknowledgedAt: Date.now()});
      await pause(drainMilliseconds + LINGER_MILLISECONDS);
    }
    await leaving.announcer.leave(this.options.announcementAddress);
    await this.crash();
  }

  /** Another writer speaks in the upstream's name, and nobody believes it. */
  async misstate(fields: object): Promise<void> {
    const {announcementAddress} = this.options;
    await this.present?.announcer.sayOther(announcementAddress, fields);
  }

  /** The upstream is gone; the next one takes its place, and maybe its id. */
  async crash(keepsId = false): Promise<void> {
    const gone = this.present;
    if (gone !== undefined) {
      gone.state = 'gone';
      gone.standIn.stop();
    }
    if (!this.options.isOver()) {
      const id = keepsId ? gone?.standIn.lifetime : undefined;
      await this.startNext(id);
    }
  }

  /** Stops whatever still listens. */
  stop(): void {
    this.lives.forEach(({standIn}) => standIn.stop());
  }

  private async isDrainHeard({announcer}: UpstreamLife): Promise<boolean> {
    const {announcementAddress, isOver} = this.options;
    const limit = Date.now() + UNHEARD_MILLISECONDS;
    while (Date.now() < limit && !isOver()) {
      if (await announcer.say(announcementAddress, 'draining')) {
        return true;
      }
      await pause(HEARTBEAT_MILLISECONDS);
    }
    return false;
  }

  private async startNext(id?: string): Promise<void> {
    const {box, service, link, random} = this.options;
    const lifetime = id ?? `i-${box}-${this.lives.length + 1}`;
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
    this.lives.push({process, standIn, service, announcer, state: 'ready'});
  }
}
