// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A box of a soak: a node's process, its links, and the upstream beside it. */

import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {
  UpstreamAnnouncer,
  UpstreamStandIn,
  settingsEnvironment,
  settingsText,
} from '@lockpin/platform-stand-ins';
import type {RandomSource} from '@lockpin/types';
import {endTogetherWith} from '../harness/startedProcesses.js';
import type {LinkName} from './faultPlan.js';
import {LinkProxy} from './linkProxy.js';
import {SOAK_SERVICES} from './soakConfiguration.js';
import type {DrainFact, ExitFact, SoakBounds, StopFact} from './soakFacts.js';

const NODE_BUNDLE = fileURLToPath(
  new URL('../../../../target/lockpin-node.mjs', import.meta.url),
);

/** Time that upstreams work on a request. */
const WORK_MILLISECONDS = 15;

const UPSTREAM_SLOTS = 4;

/** Upstreams announce themselves this often. */
const HEARTBEAT_MILLISECONDS = 300;

/** A leaving upstream whose drain nobody acknowledges leaves after this. */
const UNHEARD_MILLISECONDS = 3000;

/** Served longer than the promise, so that a late call shows as an arrival. */
const LINGER_MILLISECONDS = 1500;

/**
 * From the signal to stop until a node is killed. Callers are served for 0.42 of
 * it, and the longest call that comes then must still end before 0.85 of it.
 */
export const STOP_LIMIT_MILLISECONDS = 4000;

/** A process that ended by itself is started again after this. */
const RESTART_MILLISECONDS = 300;

/**
 * Before a program's first line runs, a signal ends it whatever the program does.
 * Node.js itself takes 50 ms of processor time for that, more on a busy machine.
 */
const RUNTIME_START_MILLISECONDS = 300;

/** Where a box listens. */
export interface BoxAddresses {
  readonly caller: string;
  readonly peer: string;
  readonly readiness: string;
  readonly announcements: string;
}

/** What a box is started with. */
export interface SoakBoxOptions {
  readonly index: number;
  readonly addresses: BoxAddresses;
  readonly storeAddress: string;
  /** For settings and logs. */
  readonly folder: string;
  readonly random: RandomSource;
  readonly bounds: SoakBounds;
  readonly onDrained: (drain: DrainFact) => void;
  readonly onUnaskedExit: (exit: ExitFact) => void;
}

/** The upstream of a box from its start to its end. */
export interface UpstreamLife {
  readonly standIn: UpstreamStandIn;
  readonly service: string;
  readonly announcer: UpstreamAnnouncer;
  state: 'ready' | 'draining' | 'gone';
}

/** Lives as long as the soak; its process may be started many times. */
export class SoakBox {
  readonly name: string;
  readonly service: string;
  /** Every upstream that was ever beside the node; the last is the present one. */
  readonly upstreams: UpstreamLife[] = [];
  /** Counts the starts of the process. */
  life = 0;
  private process: ChildProcess | undefined;
  private spawnedAt = 0;
  private exit: Promise<number | null> = Promise.resolve(null);
  private advertisedAddress = '';
  private storeLinkAddress = '';
  private upstreamLinkAddress = '';
  private isOver = false;
  /** The process was told to end. */
  private isEnding = false;
  private reloads = 0;
  private readonly links: Readonly<Record<LinkName, LinkProxy>>;

  constructor(private readonly options: SoakBoxOptions) {
    const {index, addresses, storeAddress} = options;
    this.name = `box-${index + 1}`;
    this.service = SOAK_SERVICES[index % SOAK_SERVICES.length] as string;
    this.links = {
      peers: new LinkProxy(addresses.peer),
      store: new LinkProxy(storeAddress),
      upstream: new LinkProxy(''),
    };
  }

  get callerAddress(): string {
    return this.options.addresses.caller;
  }

  link(name: LinkName): LinkProxy {
    return this.links[name];
  }

  /** The upstream that is beside the node now. */
  get upstream(): UpstreamLife | undefined {
    return this.upstreams.at(-1);
  }

  async start(): Promise<void> {
    this.advertisedAddress = await this.links.peers.start();
    this.storeLinkAddress = await this.links.store.start();
    this.upstreamLinkAddress = await this.links.upstream.start();
    await this.startUpstream();
    this.startProcess();
    void this.keepAnnouncing();
  }

  /** Ends everything that the box started. */
  async end(): Promise<void> {
    this.isOver = true;
    this.process?.kill('SIGCONT');
    this.process?.kill('SIGKILL');
    await this.exit;
    Object.values(this.links).forEach((link) => link.stop());
    this.upstreams.forEach(({standIn}) => standIn.stop());
  }

  /** Starts the node, unless it runs. */
  startProcess(): void {
    if (this.process !== undefined || this.isOver) {
      return;
    }
    const settings = this.writeSettings();
    const log = openSync(join(this.options.folder, `${this.name}.log`), 'a');
    const child = spawn(process.execPath, [NODE_BUNDLE], {
      stdio: ['ignore', log, log],
      env: {
        ...process.env,
        ...settingsEnvironment(settings, this.advertisedAddress),
      },
    });
    closeSync(log);
    this.life += 1;
    this.spawnedAt = Date.now();
    this.process = child;
    endTogetherWith(child);
    this.isEnding = false;
    this.exit = new Promise((resolve) =>
      child.once('exit', (code) => {
        this.process = undefined;
        this.exited(code);
        resolve(code);
      }),
    );
  }

  /** What ends by itself is started again, as on a real box. */
  private exited(exitCode: number | null): void {
    if (this.isEnding || this.isOver) {
      return;
    }
    this.options.onUnaskedExit({box: this.name, at: Date.now(), exitCode});
    setTimeout(() => this.startProcess(), RESTART_MILLISECONDS);
  }

  /** Ends the node at once; resolves when it is gone. */
  async kill(): Promise<void> {
    this.isEnding = true;
    this.process?.kill('SIGKILL');
    await this.exit;
  }

  /** Asks the node to stop; undefined when it does not run. */
  async stop(): Promise<StopFact | undefined> {
    const child = this.process;
    if (child === undefined) {
      return undefined;
    }
    const signalledAt = Date.now();
    this.isEnding = true;
    child.kill('SIGTERM');
    let wasKilled = false;
    const last = setTimeout(() => {
      wasKilled = true;
      child.kill('SIGKILL');
    }, STOP_LIMIT_MILLISECONDS);
    const exitCode = await this.exit;
    clearTimeout(last);
    const exitedAt = Date.now();
    return {box: this.name, signalledAt, exitedAt, exitCode, wasKilled};
  }

  /** Stands the node still for a while. */
  async pause(milliseconds: number): Promise<void> {
    const child = this.process;
    child?.kill('SIGSTOP');
    await pause(milliseconds);
    child?.kill('SIGCONT');
  }

  /** Changes the settings file; a signal may or may not tell the node. */
  reload(signals: boolean): void {
    this.reloads += 1;
    this.writeSettings();
    if (signals && Date.now() - this.spawnedAt > RUNTIME_START_MILLISECONDS) {
      this.process?.kill('SIGHUP');
    }
  }

  /** The upstream leaves after it drained; the next one takes its place. */
  async replaceUpstream(): Promise<void> {
    const leaving = this.upstream;
    if (leaving?.state !== 'ready') {
      return;
    }
    leaving.state = 'draining';
    const {lifetime} = leaving.standIn;
    const isHeard = await this.isDrainHeard(leaving);
    if (isHeard) {
      const acknowledgedAt = Date.now();
      this.options.onDrained({lifetime, box: this.name, acknowledgedAt});
      const {drainMilliseconds} = this.options.bounds;
      await pause(drainMilliseconds + LINGER_MILLISECONDS);
    }
    await leaving.announcer.leave(this.options.addresses.announcements);
    await this.crashUpstream();
  }

  /** The upstream is gone; the next one takes its place. */
  async crashUpstream(): Promise<void> {
    const gone = this.upstream;
    if (gone !== undefined) {
      gone.state = 'gone';
      gone.standIn.stop();
    }
    if (!this.isOver) {
      await this.startUpstream();
    }
  }

  private async isDrainHeard({announcer}: UpstreamLife): Promise<boolean> {
    const limit = Date.now() + UNHEARD_MILLISECONDS;
    while (Date.now() < limit && !this.isOver) {
      const {announcements} = this.options.addresses;
      if (await announcer.say(announcements, 'draining')) {
        return true;
      }
      await pause(HEARTBEAT_MILLISECONDS);
    }
    return false;
  }

  private async startUpstream(): Promise<void> {
    const lifetime = `i-${this.name}-${this.upstreams.length + 1}`;
    const standIn = new UpstreamStandIn(lifetime, this.options.random);
    standIn.workMilliseconds = WORK_MILLISECONDS;
    this.links.upstream.retarget(await standIn.start());
    const announcer = new UpstreamAnnouncer({
      lifetime,
      service: this.service,
      address: this.upstreamLinkAddress,
      slots: UPSTREAM_SLOTS,
    });
    const {service} = this;
    this.upstreams.push({standIn, service, announcer, state: 'ready'});
  }

  private async keepAnnouncing(): Promise<void> {
    const {announcements} = this.options.addresses;
    while (!this.isOver) {
      const {upstream} = this;
      if (upstream !== undefined && upstream.state !== 'gone') {
        await upstream.announcer.say(announcements, upstream.state);
      }
      await pause(HEARTBEAT_MILLISECONDS);
    }
  }

  private writeSettings(): string {
    const {addresses, bounds, folder} = this.options;
    const file = join(folder, `${this.name}.conf`);
    const text = settingsText({
      box: this.name,
      dataCentre: `d${(this.options.index % 2) + 1}`,
      service: this.service,
      peerAddress: addresses.peer,
      callerAddress: addresses.caller,
      readinessAddress: addresses.readiness,
      announcementAddress: addresses.announcements,
      storeAddress: this.storeLinkAddress,
      stopLimitMilliseconds: STOP_LIMIT_MILLISECONDS,
      retryRatio: bounds.retryRatio,
      retryWindowMilliseconds: bounds.retryWindowMilliseconds,
      retryExtra: bounds.retryExtra,
    });
    writeFileSync(file, `${text}\nSelf.Reloads=${this.reloads}\n`);
    return file;
  }
}
