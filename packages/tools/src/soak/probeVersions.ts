// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Probes which configuration versions the boxes of a soak have in force. */

import {Agent} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import type {SoakBox} from './soakBox.js';
import {sendRequest} from './soakCaller.js';
import {markerPath, soakRoutes, SOAK_SERVICES} from './soakConfiguration.js';
import type {CallEnd} from './soakHistory.js';
import type {SoakRecorder} from './soakRecorder.js';

/** Interval of probes for the two newest versions. */
const PROBE_INTERVAL_MILLISECONDS = 300;

/** Status for an unknown route; any other answer means it is known. */
const UNKNOWN_ROUTE_STATUS = 404;

/** Status of a node without a configuration, which leaves the probe open. */
const NOT_READY_STATUS = 503;

/** Options of the version probes of one box. */
export interface VersionProbeOptions {
  readonly box: SoakBox;
  /** The last version written. */
  readonly newest: () => number;
  readonly recorder: SoakRecorder;
  readonly nextId: () => string;
}

/** Probes a box periodically until the soak is over. */
export async function probeVersions(
  options: VersionProbeOptions,
  isOver: () => boolean,
): Promise<void> {
  const agent = new Agent({keepAlive: false});
  while (!isOver()) {
    const newest = options.newest();
    const versions = [newest, newest - 1];
    await Promise.all(
      versions.map((version) => probeVersion(options, agent, version)),
    );
    await pause(PROBE_INTERVAL_MILLISECONDS);
  }
}

async function probeVersion(
  {box, recorder, nextId}: VersionProbeOptions,
  agent: Agent,
  version: number,
): Promise<void> {
  const requestId = nextId();
  const sentAt = Date.now();
  const {life} = box.process;
  const timeoutMilliseconds = soakRoutes()[0]?.timeoutMilliseconds ?? 0;
  const end = await sendRequest(agent, box.callerAddress, {
    path: markerPath(version),
    method: 'GET',
    requestId,
    remaining: timeoutMilliseconds,
  });
  const isKnown = knowsRoute(end);
  const probe = {box: box.name, sentAt, endedAt: Date.now()};
  // Discards the probe if the process restarted in the meantime.
  if (life === box.process.life) {
    recorder.versionProbes.push({...probe, life, version, isKnown});
  }
  if (isKnown === false) {
    return;
  }
  recorder.calls.push({
    ...probe,
    requestId,
    service: SOAK_SERVICES[0],
    isRepeatable: true,
    timeoutMilliseconds,
    end,
  });
}

/** Whether the node knows the route; undefined if the answer does not tell. */
function knowsRoute(end: CallEnd): boolean | undefined {
  const isAnswer = end.kind === 'answered' && end.status !== NOT_READY_STATUS;
  return isAnswer ? end.status !== UNKNOWN_ROUTE_STATUS : undefined;
}
