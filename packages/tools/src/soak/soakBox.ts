// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A box of a soak: its node process, links and upstreams. */

import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {setTimeout as pause} from 'node:timers/promises';
import {
  changedSettingsText,
  settingsEnvironment,
} from '@lockpin/platform-stand-ins';
import type {BoxSettings} from '@lockpin/platform-stand-ins';
import type {RandomSource} from '@lockpin/types';
import {parseAddress} from '@lockpin/utils';
import {deployedFlags} from '../harness/deployedFlags.js';
import {
  BoxProcess,
  NODE_BUNDLE,
  STOP_LIMIT_MILLISECONDS,
} from './boxProcess.js';
import {BoxUpstreams} from './boxUpstreams.js';
import type {HeldAddress, LinkName} from './plannedFault.js';
import {LinkProxy} from './linkProxy.js';
import {SOAK_SERVICES} from './soakConfiguration.js';
import type {DrainRecord, ExitRecord, SoakBounds} from './soakHistory.js';

/** Boxes are assigned to data centres round-robin. */
const DATA_CENTRE_COUNT = 2;

/** Addresses on which the node of a box listens. */
export interface BoxAddresses {
  readonly caller: string;
  readonly peer: string;
  readonly readiness: string;
  readonly announcements: string;
  /** The node serves no metrics if absent. */
  readonly metrics?: string;
}

/** Options of a box. */
export interface SoakBoxOptions {
  readonly index: number;
  readonly addresses: BoxAddresses;
  readonly storeAddress: string;
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly random: RandomSource;
  readonly bounds: SoakBounds;
  /** Memory limit of the node in MB; its default if absent. */
  readonly memoryMegabytes?: number;
  /** Limit of file descriptors of the node; that of this process if absent. */
  readonly descriptors?: number | undefined;
  /** Additional environment variables of the node. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Arguments of the Node.js runtime; by default, the bundle as it is deployed. */
  readonly command?: readonly string[];
  readonly onDrained: (drain: DrainRecord) => void;
  readonly onUnexpectedExit: (exit: ExitRecord) => void;
}

/** Exists for the whole soak, across restarts of its process. */
export class SoakBox {
  readonly name: string;
  readonly process: BoxProcess;
  readonly upstreams: BoxUpstreams;
  private readonly service: string;
  private readonly links: Readonly<Record<LinkName, LinkProxy>>;
  private advertisedAddress = '';
  private storeLinkAddress = '';
  private isOver = false;
  private reloads = 0;

  constructor(private readonly options: SoakBoxOptions) {
    const {index, addresses, storeAddress} = options;
    this.name = `box-${index + 1}`;
    this.service = SOAK_SERVICES[index % SOAK_SERVICES.length] as string;
    this.links = {
      peers: new LinkProxy(addresses.peer),
      store: new LinkProxy(storeAddress),
      upstream: new LinkProxy(''),
    };
    this.process = this.createProcess();
    this.upstreams = this.createUpstreams();
  }

  get callerAddress(): string {
    return this.options.addresses.caller;
  }

  /** File with the output of all processes of the box. */
  get logFile(): string {
    return join(this.options.folder, `${this.name}.log`);
  }

  /** An address on which the node listens; empty if it does not. */
  addressFor(name: HeldAddress): string {
    return this.options.addresses[name] ?? '';
  }

  link(name: LinkName): LinkProxy {
    return this.links[name];
  }

  async start(): Promise<void> {
    this.advertisedAddress = await this.links.peers.start();
    this.storeLinkAddress = await this.links.store.start();
    await this.upstreams.start();
    this.process.start();
    void this.upstreams.announcePeriodically();
  }

  /** Stops everything that the box started. */
  async end(): Promise<void> {
    this.isOver = true;
    await this.process.end();
    Object.values(this.links).forEach((link) => link.stop());
    this.upstreams.stop();
  }

  /** Changes the settings file, with or without a signal to the node. */
  reload(sendsSignal: boolean): void {
    this.reloads += 1;
    this.writeSettings();
    if (sendsSignal) {
      this.process.signalReload();
    }
  }

  /**
   * Rewrites the settings file in place: it is empty first, then partly written
   * for a time each.
   */
  async rewriteSettings(
    stepMilliseconds: number,
    sendsSignal: boolean,
  ): Promise<void> {
    const text = changedSettingsText(this.settings(), this.reloads);
    for (const share of [0, 1 / 3, 2 / 3]) {
      writeFileSync(this.settingsFile, text.slice(0, text.length * share));
      if (sendsSignal) {
        this.process.signalReload();
      }
      await pause(stepMilliseconds);
    }
    this.reload(sendsSignal);
  }

  private get settingsFile(): string {
    return join(this.options.folder, `${this.name}.conf`);
  }

  private createProcess(): BoxProcess {
    const {addresses} = this.options;
    const metricsPort = parseAddress(addresses.metrics ?? '')?.port ?? 0;
    const {command = [...deployedFlags(), NODE_BUNDLE, String(metricsPort)]} =
      this.options;
    return new BoxProcess({
      command,
      descriptors: this.options.descriptors,
      box: this.name,
      logFile: this.logFile,
      prepareEnvironment: () => ({
        ...this.options.environment,
        ...settingsEnvironment(this.writeSettings(), this.advertisedAddress),
      }),
      isOver: () => this.isOver,
      onUnexpectedExit: this.options.onUnexpectedExit,
    });
  }

  private createUpstreams(): BoxUpstreams {
    const {addresses, random, bounds, onDrained} = this.options;
    return new BoxUpstreams({
      box: this.name,
      service: this.service,
      announcementAddress: addresses.announcements,
      link: this.links.upstream,
      random,
      drainMilliseconds: bounds.drainMilliseconds,
      isOver: () => this.isOver,
      onDrained,
    });
  }

  private writeSettings(): string {
    const text = changedSettingsText(this.settings(), this.reloads);
    writeFileSync(this.settingsFile, text);
    return this.settingsFile;
  }

  private settings(): BoxSettings {
    const {index, addresses, bounds, memoryMegabytes, descriptors} =
      this.options;
    return {
      memoryMegabytes,
      descriptors,
      box: this.name,
      dataCentre: `d${(index % DATA_CENTRE_COUNT) + 1}`,
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
    };
  }
}
