// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Splits the bytes received on a connection between nodes into packets. */

import {HeldBytes} from '@lockpin/utils';
import {
  FIRST_BYTE,
  HEADER_BYTES,
  MAXIMUM_MESSAGE_BYTES,
  PACKET,
  PREFACE_BYTES,
  PROTOCOL_VERSION,
  methodOf,
} from './peerProtocol.js';
import type {PacketKind, PeerMethod, PeerViolation} from './peerProtocol.js';

const NO_BYTES = Buffer.alloc(0);

/** What was read: the preface, a packet or a violation of the protocol. */
export type PacketRead = 'preface' | 'violation' | PacketKind;

/** Reads packets without copying those that arrive in one piece. */
export class PeerPacketReader {
  /** The method in the preface, once it was read. */
  method: PeerMethod | undefined;
  /** The last message read. */
  message: Buffer = NO_BYTES;
  /** The violation found, if any; nothing is read after it. */
  violation: PeerViolation | undefined;
  private current: Buffer = NO_BYTES;
  private offset = 0;
  /** Received after the current bytes; joined when a packet is complete. */
  private waiting = new HeldBytes();

  /** Size of the bytes that were received and not read. */
  get heldBytes(): number {
    return this.current.length - this.offset + this.waiting.length;
  }

  /** Adds received bytes. */
  push(bytes: Buffer): void {
    if (this.offset === this.current.length) {
      this.current = bytes;
      this.offset = 0;
    } else {
      this.waiting.add(bytes);
    }
  }

  /** Reads the next item; undefined when more bytes are needed. */
  next(): PacketRead | undefined {
    if (this.violation !== undefined) {
      return undefined;
    }
    return this.method === undefined ? this.readPreface() : this.readPacket();
  }

  private readPreface(): PacketRead | undefined {
    // The first byte is checked alone: another protocol may send only that.
    if (!this.has(1)) {
      return undefined;
    }
    if (this.current[this.offset] !== FIRST_BYTE) {
      return this.fail('wrong-first-byte');
    }
    if (!this.has(PREFACE_BYTES)) {
      return undefined;
    }
    if (this.current[this.offset + 1] !== PROTOCOL_VERSION) {
      return this.fail('unknown-version');
    }
    this.method = methodOf(this.current[this.offset + 2] as number);
    if (this.method === undefined) {
      return this.fail('unknown-method');
    }
    this.offset += PREFACE_BYTES;
    return 'preface';
  }

  private readPacket(): PacketRead | undefined {
    if (!this.has(HEADER_BYTES)) {
      return undefined;
    }
    const kind = this.current[this.offset] as number;
    const length = this.current.readUIntBE(this.offset + 1, HEADER_BYTES - 1);
    if (length > MAXIMUM_MESSAGE_BYTES) {
      return this.fail('message-too-long');
    }
    if (!isPacketKind(kind) || (kind !== PACKET.message && length > 0)) {
      return this.fail('unknown-packet');
    }
    if (!this.has(HEADER_BYTES + length)) {
      return undefined;
    }
    const start = this.offset + HEADER_BYTES;
    this.offset = start + length;
    if (kind === PACKET.message) {
      this.message = this.current.subarray(start, this.offset);
    }
    return kind;
  }

  /** Whether so many unread bytes were received; joins them if they were. */
  private has(count: number): boolean {
    const available = this.current.length - this.offset;
    if (available >= count) {
      return true;
    }
    if (available + this.waiting.length < count) {
      return false;
    }
    const rest = this.current.subarray(this.offset);
    this.current = Buffer.concat([rest, this.waiting.whole()]);
    this.offset = 0;
    this.waiting = new HeldBytes();
    return true;
  }

  private fail(violation: PeerViolation): 'violation' {
    this.violation = violation;
    return 'violation';
  }
}

function isPacketKind(kind: number): kind is PacketKind {
  return kind <= PACKET.probeReply;
}
