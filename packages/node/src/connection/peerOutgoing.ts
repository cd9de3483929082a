// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Packets that wait for the next write to a connection between nodes. */

import {
  HEADER_BYTES,
  PACKET,
  PREFACE_BYTES,
  writeHeader,
  writePreface,
} from './peerProtocol.js';
import type {PacketKind, PeerMethod} from './peerProtocol.js';

/** A message, or the kind of a packet without a message. */
export type OutgoingPacket =
  Buffer | Exclude<PacketKind, typeof PACKET.message>;

/** Joins packets into one buffer, as one write costs less than several. */
export class PeerOutgoing {
  private packets: OutgoingPacket[] = [];
  private packetBytes = 0;
  private isPrefaceTaken = false;

  /** Size of the waiting packets. */
  get bytes(): number {
    return this.packetBytes;
  }

  add(packet: OutgoingPacket): void {
    this.packets.push(packet);
    this.packetBytes +=
      HEADER_BYTES + (typeof packet === 'number' ? 0 : packet.length);
  }

  clear(): void {
    this.packets = [];
    this.packetBytes = 0;
  }

  /** Takes all packets; the first time, the preface precedes them. */
  take(method: PeerMethod): Buffer {
    const start = this.isPrefaceTaken ? 0 : PREFACE_BYTES;
    const bytes = Buffer.allocUnsafe(start + this.packetBytes);
    if (!this.isPrefaceTaken) {
      writePreface(bytes, method);
      this.isPrefaceTaken = true;
    }
    copyPackets(this.packets, bytes, start);
    this.clear();
    return bytes;
  }
}

function copyPackets(
  packets: readonly OutgoingPacket[],
  target: Buffer,
  start: number,
): void {
  let offset = start;
  for (const packet of packets) {
    if (typeof packet === 'number') {
      writeHeader(target, offset, packet, 0);
      offset += HEADER_BYTES;
    } else {
      writeHeader(target, offset, PACKET.message, packet.length);
      packet.copy(target, offset + HEADER_BYTES);
      offset += HEADER_BYTES + packet.length;
    }
  }
}
