// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Creates planned hard load: rejections, floods and slow readers. */

import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {setTimeout as pause} from 'node:timers/promises';
import {parseAddress, seededRandom} from '@lockpin/utils';
import type {PlannedFault} from './plannedFault.js';
import type {SoakBox} from './soakBox.js';
import {runCaller} from './soakCaller.js';
import type {CallerOptions} from './soakCaller.js';
import {FLOODING_CUSTOMER} from './soakConfiguration.js';

/** Hard load, as opposed to faults. */
export type PlannedLoad = PlannedFault & {
  readonly kind: 'rejections' | 'flood' | 'slow-readers' | 'idle-connections';
};

/** More than a connection on loopback holds outside the processes. */
const LONG_ANSWER_BYTES = 6_000_000;

/** A slow reader needs five times the time limit of its call. */
const SLOW_BYTES_PER_SECOND = 1_000_000;

const READER_PATIENCE_MILLISECONDS = 30_000;

/** Interval at which closed idle connections are opened again. */
const RECONNECT_MILLISECONDS = 100;

/** A reader that disconnects has taken a part of its answer. */
const DISCONNECT_MILLISECONDS = 1500;

/** Applies the load to the boxes; resolves when it is over. */
export async function applyLoad(
  boxes: readonly SoakBox[],
  callers: Pick<CallerOptions, 'nextId' | 'record'>,
  load: PlannedLoad,
): Promise<void> {
  if (load.kind === 'rejections') {
    await rejectCalls(boxes, load);
    return;
  }
  const box = boxes[load.box];
  if (box === undefined) {
    return;
  }
  if (load.kind === 'idle-connections') {
    await holdConnections(box, load);
    return;
  }
  const optionsOf = (index: number): CallerOptions => ({
    ...callers,
    box: box.name,
    address: box.callerAddress,
    random: seededRandom(load.at * 31 + index),
  });
  const indexes = [
    ...Array(load.kind === 'flood' ? load.callers : load.readers).keys(),
  ];
  if (load.kind === 'flood') {
    const [key = ''] = FLOODING_CUSTOMER.keys;
    const end = Date.now() + load.durationMilliseconds;
    const isOver = (): boolean => Date.now() >= end;
    await Promise.all(
      indexes.map((index) => runCaller({...optionsOf(index), key}, isOver)),
    );
    return;
  }
  await Promise.all(
    indexes.map((index) => readSlowly(optionsOf(index), index)),
  );
}

/** Holds connections that send nothing, and opens those again that are closed. */
async function holdConnections(
  box: SoakBox,
  {
    address,
    connections,
    durationMilliseconds,
  }: PlannedLoad & {readonly kind: 'idle-connections'},
): Promise<void> {
  const target = parseAddress(box.addressFor(address));
  if (target === undefined) {
    return;
  }
  const open = new Set<Socket>();
  const end = Date.now() + durationMilliseconds;
  while (Date.now() < end) {
    while (open.size < connections) {
      const socket = connect(target);
      open.add(socket);
      // The node closes idle connections, and may not run.
      socket.on('error', () => undefined);
      socket.once('close', () => open.delete(socket));
    }
    await pause(RECONNECT_MILLISECONDS);
  }
  open.forEach((socket) => socket.destroy());
}

/** Every other reader disconnects before it has the whole answer. */
function readSlowly(options: CallerOptions, index: number): Promise<void> {
  const disconnects = index % 2 === 1;
  let hasCalled = false;
  return runCaller(
    {
      ...options,
      idSuffix: `-${LONG_ANSWER_BYTES}b`,
      bytesPerSecond: SLOW_BYTES_PER_SECOND,
      patienceMilliseconds: disconnects
        ? DISCONNECT_MILLISECONDS
        : READER_PATIENCE_MILLISECONDS,
      ...(disconnects && {record: () => undefined}),
    },
    () => {
      const isOver = hasCalled;
      hasCalled = true;
      return isOver;
    },
  );
}

async function rejectCalls(
  boxes: readonly SoakBox[],
  {
    service,
    share,
    durationMilliseconds,
  }: PlannedLoad & {readonly kind: 'rejections'},
): Promise<void> {
  const standIns = boxes
    .flatMap(({upstreams}) => upstreams.current ?? [])
    .filter((upstream) => upstream.service === service)
    .map(({standIn}) => standIn);
  for (const standIn of standIns) {
    standIn.affectedShare = share;
    standIn.mode = 'sheds';
  }
  await pause(durationMilliseconds);
  standIns.forEach((standIn) => (standIn.mode = 'well'));
}
