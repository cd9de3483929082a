// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A fleet of node processes whose processor time is read from the system. */

import {Agent, get} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {
  CONFIGURATION_KEY,
  CONFIGURATION_TOPIC,
  StoreStandIn,
} from '@lockpin/platform-stand-ins';
import {seededRandom} from '@lockpin/utils';
import {processorSeconds} from '../bench/processTime.js';
import {freeAddresses} from '../harness/ports.js';
import {waitUntil} from '../harness/waitUntil.js';
import {SOAK_BOUNDS} from '../soak/runSoak.js';
import {SoakBox} from '../soak/soakBox.js';
import {sendRequest} from '../soak/soakCaller.js';
import {soakRoutes} from '../soak/soakConfiguration.js';
import type {SoakRoute} from '../soak/soakConfiguration.js';
import {
  FILLED_SERVICE,
  FILL_MILLISECONDS,
  FILL_ROUTE,
  LIMITED_KEY,
  costConfiguration,
} from './costConfiguration.js';
import type {CostStage} from './costStages.js';

/** A named command line that starts the nodes of a fleet. */
export interface CostVariant {
  readonly name: string;
  /** Arguments of the runtime, including the bundle. */
  readonly command: readonly string[];
}

/** Pause between the calls of one caller; long enough to keep nodes cold. */
const CALL_PAUSE_MILLISECONDS = 50;

const WAIT_MILLISECONDS = 2000;

/** Time in which upstreams are announced and boxes discover each other. */
const SETTLE_MILLISECONDS = 4000;

/** Use of processors of a fleet that has started: a share of one per node. */
const STARTED_SHARE = 0.05;

const SHARE_WINDOW_MILLISECONDS = 1000;

const START_TIMEOUT_MILLISECONDS = 90_000;

const READINESS_INTERVAL_MILLISECONDS = 1000;

const HTTP_OK = 200;

/** Calls under way at a time that fill the slots and queues of a service. */
const FILL_CALLS_PER_BOX = 20;

/** The calls of a stage. */
export interface Made {
  readonly made: number;
  /** Calls that ended with the status of the stage. */
  readonly asExpected: number;
}

/** Fleet for one measurement. */
export class CostFleet {
  private readonly store = new StoreStandIn();
  private boxes: readonly SoakBox[] = [];
  private readonly readinessAddresses: string[] = [];
  private agents: readonly Agent[] = [];
  private fillAgents: readonly Agent[] = [];
  private sequence = 0;
  private version = 0;

  constructor(
    private readonly variant: CostVariant,
    private readonly folder: string,
  ) {}

  /** Starts the nodes; resolves after they have discovered each other. */
  async start(count: number): Promise<void> {
    const storeAddress = await this.store.start();
    this.configure(false);
    const boxes: SoakBox[] = [];
    for (let index = 0; index < count; index += 1) {
      boxes.push(await this.createBox(index, storeAddress));
    }
    this.boxes = boxes;
    this.agents = boxes.map(() => new Agent({keepAlive: true}));
    this.fillAgents = boxes.map(() => new Agent({keepAlive: true}));
    await Promise.all(boxes.map((box) => box.start()));
    // On a busy machine a start takes long and would be taken for idling.
    await Promise.all(this.readinessAddresses.map(waitUntilReady));
    await pause(SETTLE_MILLISECONDS);
    await waitUntil(() => this.isQuiet(), START_TIMEOUT_MILLISECONDS);
  }

  /** Processor time of all nodes since their start, in milliseconds. */
  get milliseconds(): number {
    return this.boxes
      .map(({process}) => processorSeconds(process.pid ?? 0) * 1000)
      .reduce((sum, used) => sum + used, 0);
  }

  /** Brings about the conditions of a stage. */
  async prepare({condition}: CostStage): Promise<void> {
    if (condition === 'over-limit') {
      this.configure(true);
      await pause(SETTLE_MILLISECONDS);
    } else if (condition === 'full') {
      this.fill();
      await pause(SETTLE_MILLISECONDS);
    }
  }

  /** Spreads the calls of a stage over all boxes, with the same at each. */
  async call({calls, status, condition, atOnce}: CostStage): Promise<Made> {
    const routes = soakRoutes().filter(
      ({service}) => condition !== 'full' || service === FILLED_SERVICE,
    );
    const key = condition === 'over-limit' ? LIMITED_KEY : undefined;
    let asExpected = 0;
    const callers = this.boxes.flatMap((_, box) =>
      Array.from({length: atOnce}, () => box),
    );
    const each = Math.ceil(calls / callers.length);
    await Promise.all(
      callers.map(async (box) => {
        for (let i = 0; i < each; i += 1) {
          const route = routes[this.sequence % routes.length] as SoakRoute;
          const ended = await this.callAt(this.agents[box], box, route, key);
          asExpected += ended === status ? 1 : 0;
          await pause(CALL_PAUSE_MILLISECONDS);
        }
      }),
    );
    return {made: each * callers.length, asExpected};
  }

  async end(): Promise<void> {
    [...this.agents, ...this.fillAgents].forEach((agent) => agent.destroy());
    await Promise.all(this.boxes.map((box) => box.end()));
    this.store.stop();
  }

  private configure(isLimited: boolean): void {
    this.version += 1;
    const text = costConfiguration(this.version, isLimited);
    this.store.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, text);
  }

  private async isQuiet(): Promise<boolean> {
    const before = this.milliseconds;
    await pause(SHARE_WINDOW_MILLISECONDS);
    const used = this.milliseconds - before;
    const share = used / SHARE_WINDOW_MILLISECONDS / this.boxes.length;
    return share < STARTED_SHARE;
  }

  /** Takes all slots and places in the queues of a service until the end. */
  private fill(): void {
    this.boxes.forEach(({upstreams: {current}}, box) => {
      if (current?.service === FILLED_SERVICE) {
        current.standIn.workMilliseconds = FILL_MILLISECONDS;
      }
      for (let i = 0; i < FILL_CALLS_PER_BOX; i += 1) {
        void this.callAt(this.fillAgents[box], box, FILL_ROUTE, undefined);
      }
    });
  }

  /** Makes a call; resolves to its status, 0 if its connection broke. */
  private async callAt(
    agent: Agent | undefined,
    box: number,
    route: SoakRoute,
    key: string | undefined,
  ): Promise<number> {
    this.sequence += 1;
    const requestId = `cost-${this.sequence}`;
    const isFill = route === FILL_ROUTE;
    const end = await sendRequest(
      agent as Agent,
      this.boxes[box]?.callerAddress ?? '',
      {
        path: `${route.pathPrefix}${requestId}`,
        method: route.isRepeatable ? 'GET' : 'POST',
        requestId,
        remaining: isFill ? FILL_MILLISECONDS : WAIT_MILLISECONDS,
        ...(key === undefined ? {} : {key}),
      },
    );
    return end.kind === 'answered' ? end.status : 0;
  }

  private async createBox(
    index: number,
    storeAddress: string,
  ): Promise<SoakBox> {
    const [caller = '', peer = '', readiness = '', announcements = ''] =
      await freeAddresses(4);
    this.readinessAddresses.push(readiness);
    return new SoakBox({
      index,
      addresses: {caller, peer, readiness, announcements},
      storeAddress,
      folder: this.folder,
      random: seededRandom(index + 1),
      bounds: SOAK_BOUNDS,
      command: this.variant.command,
      onDrained: () => undefined,
      onUnexpectedExit: () => undefined,
    });
  }
}

/** Checks at the interval of the platform, so that it costs a node little. */
async function waitUntilReady(address: string): Promise<void> {
  const deadline = Date.now() + START_TIMEOUT_MILLISECONDS;
  while (!(await isReady(address)) && Date.now() < deadline) {
    await pause(READINESS_INTERVAL_MILLISECONDS);
  }
}

function isReady(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    const request = get(`http://${address}/`, (response) => {
      response.resume();
      resolve(response.statusCode === HTTP_OK);
    });
    request.on('error', () => resolve(false));
  });
}
