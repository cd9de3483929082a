// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Asks the boxes of a soak which versions they know. */

import {Agent} from 'node:http';
import {setTimeout as pause} from 'node:timers/promises';
import type {SoakBox} from './soakBox.js';
import {sendRequest} from './soakCaller.js';
import {markerPath, soakRoutes, SOAK_SERVICES} from './soakConfiguration.js';
import type {CallEnd} from './soakFacts.js';
import type {SoakRecorder} from './soakRecorder.js';

/** Each box is asked for the newest route and the one before this often. */
const MARKER_MILLISECONDS = 300;

/** A node that knows no such route says so; any other answer knows it. */
const UNKNOWN_ROUTE_STATUS = 404;

/** A node that knows no configuration yet cannot tell. */
const NOT_READY_STATUS = 503;

/** Whom to ask, and who is told. */
export interface VersionWatch {
  readonly box: SoakBox;
  /** The version that was written last. */
  readonly newest: () => number;
  readonly recorder: SoakRecorder;
  readonly nextId: () => string;
}

/** Asks a box again and again, until it is told to stop. */
export async function watchVersions(
  watch: VersionWatch,
  isOver: () => boolean,
): Promise<void> {
  const agent = new Agent({keepAlive: false});
  while (!isOver()) {
    const newest = watch.newest();
    const versions = [newest, newest - 1];
    await Promise.all(
      versions.map((version) => askForVersion(watch, agent, version)),
    );
    await pause(MARKER_MILLISECONDS);
  }
}

async function askForVersion(
  {box, recorder, nextId}: VersionWatch,
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
  const asked = {box: box.name, sentAt, endedAt: Date.now()};
  // The process may have ended and started while it was asked.
  if (life === box.process.life) {
    recorder.markers.push({...asked, life, version, isKnown});
  }
  if (isKnown === false) {
    return;
  }
  recorder.calls.push({
    ...asked,
    requestId,
    service: SOAK_SERVICES[0],
    isRepeatable: true,
    timeoutMilliseconds,
    end,
  });
}

/** Undefined where the answer does not tell. */
function knowsRoute(end: CallEnd): boolean | undefined {
  const isAnswer = end.kind === 'answered' && end.status !== NOT_READY_STATUS;
  return isAnswer ? end.status !== UNKNOWN_ROUTE_STATUS : undefined;
}
