// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Runs the platform's stand-ins and the upstreams in this process. */

import {BoxList, LogService, StandInUpstream} from '@lockpin/stand-ins';
import {seededRandom} from '@lockpin/utils';
import type {Deployment} from './deployments.js';
import {LOOPBACK} from './ports.js';

/** An upstream of the deployment and its location. */
export interface PlacedUpstream {
  /** As `customer/service/name`. */
  readonly name: string;
  readonly service: string;
  readonly box: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly standIn: StandInUpstream;
}

/** A box of the deployment and its data centre. */
export interface PlacedBox {
  readonly box: string;
  readonly dataCentre: string;
}

/** The services around lockpin: the log, the box list and the upstreams. */
export interface Platform {
  readonly log: LogService;
  readonly logAddress: string;
  readonly boxList: BoxList;
  readonly boxListAddress: string;
  readonly boxes: readonly PlacedBox[];
  readonly upstreams: readonly PlacedUpstream[];
  readonly stop: () => void;
}

/** Starts the stand-ins; upstreams are assigned to boxes round-robin. */
export async function startPlatform(
  deployment: Deployment,
  seed: number,
): Promise<Platform> {
  const log = new LogService();
  const boxList = new BoxList();
  const logAddress = await log.start(LOOPBACK);
  const boxListAddress = await boxList.start(LOOPBACK);
  const boxes = Array.from({length: deployment.boxes}, (_, i) => ({
    box: `${deployment.customer}-box-${i + 1}`,
    dataCentre: deployment.dataCentres[
      i % deployment.dataCentres.length
    ] as string,
  }));
  const upstreams = await startUpstreams(deployment, boxes, seed);
  const stop = (): void => {
    log.stop();
    boxList.stop();
    upstreams.forEach(({standIn}) => standIn.stop());
  };
  return {log, logAddress, boxList, boxListAddress, boxes, upstreams, stop};
}

async function startUpstreams(
  deployment: Deployment,
  boxes: readonly PlacedBox[],
  seed: number,
): Promise<readonly PlacedUpstream[]> {
  const {customer, slots, services} = deployment;
  const placed: PlacedUpstream[] = [];
  for (const {name: service, targets} of services) {
    for (let i = 1; i <= targets; i += 1) {
      const name = `${customer}/${service}/${service}-${i}`;
      const placedBox = boxes[placed.length % boxes.length] as PlacedBox;
      const random = seededRandom(seed + placed.length);
      const standIn = new StandInUpstream({name, slots, random});
      const address = await standIn.start(LOOPBACK);
      placed.push({
        name,
        service: `${customer}/${service}`,
        ...placedBox,
        address,
        standIn,
      });
    }
  }
  return placed;
}
