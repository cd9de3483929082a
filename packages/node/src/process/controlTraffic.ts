// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Counts the bytes of a node's control traffic. */

/** Transports of control messages. */
export type TrafficKind = 'datagrams' | 'exchanges' | 'log' | 'boxList';

/** Bytes by direction, and messages sent. */
export interface TrafficCount {
  sent: number;
  received: number;
  messages: number;
}

/** Counts payload bytes, excluding the headers of lower layers. */
export class ControlTraffic {
  readonly counts: Readonly<Record<TrafficKind, TrafficCount>> = {
    datagrams: {sent: 0, received: 0, messages: 0},
    exchanges: {sent: 0, received: 0, messages: 0},
    log: {sent: 0, received: 0, messages: 0},
    boxList: {sent: 0, received: 0, messages: 0},
  };

  sent(kind: TrafficKind, bytes: number): void {
    this.counts[kind].sent += bytes;
    this.counts[kind].messages += 1;
  }

  received(kind: TrafficKind, bytes: number): void {
    this.counts[kind].received += bytes;
  }
}
