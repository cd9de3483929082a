// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A fleet of node processes whose processor time is read from the system. */

import {Agent} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import {seededRandom} from '@lockpin/utils';
import {processorSeconds} from '../bench/processTime.js';
import {freeAddresses} from '../harness/ports.js';
import {waitUntil} from '../harness/waitUntil.js';
import {SOAK_BOUNDS} from '../soak/runSoak.js';
import {SoakBox} from '../soak/soakBox.js';
import {sendRequest} from '../soak/soakCaller.js';
import {soakRoutes} from '../soak/soakConfiguration.js';
import {SoakStore} from '../soak/soakStore.js';

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

/** Fleet for one measurement. */
export class CostFleet {
  private readonly store = new SoakStore(() => undefined);
  private boxes: readonly SoakBox[] = [];
  private agents: readonly Agent[] = [];
  private sequence = 0;

  constructor(
    private readonly variant: CostVariant,
    private readonly folder: string,
  ) {}

  /** Starts the nodes; resolves after they have discovered each other. */
  async start(count: number): Promise<void> {
    const storeAddress = await this.store.start();
    const boxes: SoakBox[] = [];
    for (let index = 0; index < count; index += 1) {
      boxes.push(await this.createBox(index, storeAddress));
    }
    this.boxes = boxes;
    this.agents = boxes.map(() => new Agent({keepAlive: true, maxSockets: 1}));
    await Promise.all(boxes.map((box) => box.start()));
    await waitUntil(() =>
      boxes.every(({process}) => process.pid !== undefined),
    );
    await pause(SETTLE_MILLISECONDS);
  }

  /** Processor time of all nodes since their start, in milliseconds. */
  get milliseconds(): number {
    return this.boxes
      .map(({process}) => processorSeconds(process.pid ?? 0) * 1000)
      .reduce((sum, used) => sum + used, 0);
  }

  /** Spreads calls over all boxes; resolves to the number of successes. */
  async call(count: number): Promise<number> {
    let served = 0;
    const each = Math.ceil(count / this.boxes.length);
    await Promise.all(
      this.boxes.map(async (_, box) => {
        for (let i = 0; i < each; i += 1) {
          const isServed = await this.callAt(box);
          served += isServed ? 1 : 0;
          await pause(CALL_PAUSE_MILLISECONDS);
        }
      }),
    );
    return served;
  }

  async end(): Promise<void> {
    this.agents.forEach((agent) => agent.destroy());
    await Promise.all(this.boxes.map((box) => box.end()));
    this.store.stop();
  }

  private async callAt(box: number): Promise<boolean> {
    this.sequence += 1;
    const routes = soakRoutes();
    const route = routes[this.sequence % routes.length];
    const requestId = `cost-${this.sequence}`;
    const end = await sendRequest(
      this.agents[box] as Agent,
      this.boxes[box]?.callerAddress ?? '',
      {
        path: `${route?.pathPrefix}${requestId}`,
        method: route?.isRepeatable === true ? 'GET' : 'POST',
        requestId,
        remaining: WAIT_MILLISECONDS,
      },
    );
    return end.kind === 'answered' && end.status === 200;
  }

  private async createBox(
    index: number,
    storeAddress: string,
  ): Promise<SoakBox> {
    const [caller = '', peer = '', readiness = '', announcements = ''] =
      await freeAddresses(4);
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
