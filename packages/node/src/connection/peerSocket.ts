// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** One end of a stream between two nodes, on a TCP connection of its own. */

import type {Socket} from 'node:net';
import {PeerOutgoing} from './peerOutgoing.js';
import type {OutgoingPacket} from './peerOutgoing.js';
import {PeerPacketReader} from './peerPacketReader.js';
import type {PacketRead} from './peerPacketReader.js';
import {probeAction} from './peerProbes.js';
import {MAXIMUM_MESSAGE_BYTES, PACKET} from './peerProtocol.js';
import type {PeerMethod, PeerViolation} from './peerProtocol.js';
import type {PeerStream, PeerStreamHandlers} from './peerStream.js';

/** A box on the same network answers within a few milliseconds or never. */
const CONNECT_TIMEOUT_MILLISECONDS = 1000;

/** Unsent bytes from which writers are asked to pause. */
const HIGH_WATER_BYTES = 64 * 1024;

/**
 * Unsent bytes from which a server reads no more from a client: what it would
 * reply to that would have to wait, too. Clients read on in any case.
 */
const HOLD_BACK_BYTES = 2 * 1024 * 1024;

/** Unsent bytes from which a connection is closed: its other end reads nothing. */
const MAXIMUM_UNSENT_BYTES = 32 * 1024 * 1024;

/** Events of the connection under a stream. */
export interface PeerSocketEvents {
  /** The preface of the other end was read; a server then sets the handlers. */
  readonly onPreface: (method: PeerMethod) => void;
  /** No connection was established, or to a server of another protocol. */
  readonly onConnectFailed?: () => void;
  readonly onViolation: (violation: PeerViolation) => void;
  /** Bytes of a message were received that is not complete. */
  readonly onHeld?: () => void;
  /** The stream is over; its connection may still send what was written. */
  readonly onClosed: () => void;
}

/** A stream over a socket that is open or connecting. */
export class PeerSocket implements PeerStream {
  private readonly reader = new PeerPacketReader();
  private readonly outgoing = new PeerOutgoing();
  private readonly flushNow = (): void => this.flush();
  private handlers: PeerStreamHandlers | undefined;
  private isFlushScheduled = false;
  private isDrainAwaited = false;
  private isPaused = false;
  /** Nothing is read since too much is unsent. */
  private isHeldBack = false;
  private isDelivering = false;
  private isEstablished: boolean;
  private hasEnded = false;
  private hasReceivedEnd = false;
  private isClosed = false;
  /** Probe ticks since the last byte was received. */
  private silentTicks = 0;
  private connectTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly events: PeerSocketEvents,
    /** Undefined at a server, which learns the method from the client. */
    private readonly clientMethod?: PeerMethod,
  ) {
    this.isEstablished = !socket.connecting;
    socket.on('data', (bytes: Buffer) => this.receiveBytes(bytes));
    socket.on('drain', () => this.handleSent());
    socket.on('error', () => undefined); // followed by 'close'
    socket.on('close', () => this.close());
    if (!this.isEstablished) {
      socket.once('connect', () => this.establish());
      this.connectTimer = setTimeout(
        // After a late timer, a connect that has succeeded is handled first.
        () => setImmediate(() => this.endConnecting()),
        CONNECT_TIMEOUT_MILLISECONDS,
      );
    }
  }

  /** Size of what was received of messages that are not complete. */
  get heldBytes(): number {
    return this.reader.heldBytes;
  }

  handle(handlers: PeerStreamHandlers): void {
    this.handlers = handlers;
  }

  write(message: Buffer): boolean {
    if (this.isClosed || this.hasEnded) {
      return true;
    }
    if (message.length > MAXIMUM_MESSAGE_BYTES) {
      // Earlier messages may have been received.
      this.fail('message-too-long', this.isEstablished);
      return true;
    }
    this.send(message);
    const hasRoom = this.unsentBytes < HIGH_WATER_BYTES;
    // A later write that has room must not take the drain from an earlier one.
    this.isDrainAwaited ||= !hasRoom;
    return hasRoom;
  }

  pause(): void {
    this.isPaused = true;
    this.socket.pause();
  }

  resume(): void {
    if (this.isPaused && !this.isClosed) {
      this.isPaused = false;
      this.readOn();
    }
  }

  end(): void {
    if (!this.isClosed && !this.hasEnded) {
      this.send(PACKET.end);
      this.hasEnded = true;
      this.closeIfEnded();
    }
  }

  cancel(): void {
    if (this.markClosed()) {
      this.socket.destroy();
    }
  }

  /** Breaks the stream, but sends first what was written. */
  stop(): void {
    this.flush();
    if (this.markClosed()) {
      this.socket.destroySoon();
      this.handlers?.onError(this.isEstablished);
    }
  }

  reject(): void {
    this.fail('malformed-message', this.isEstablished);
  }

  /** Closes the connection, which holds too many bytes of messages. */
  rejectHeld(): void {
    this.fail('memory-exhausted', this.isEstablished);
  }

  /** Called at equal intervals; probes a silent connection, then drops it. */
  tick(): void {
    if (this.isClosed || !this.isEstablished) {
      return;
    }
    if (this.isPaused) {
      // Probes of the other end are not read now; this shows it a live node.
      this.send(PACKET.probeReply);
      return;
    }
    this.silentTicks += 1;
    const action = probeAction(this.silentTicks);
    if (action === 'probe') {
      this.send(PACKET.probe);
    } else if (action === 'drop') {
      this.close();
    }
  }

  private establish(): void {
    this.isEstablished = true;
    clearTimeout(this.connectTimer);
    this.flush();
  }

  private endConnecting(): void {
    if (!this.isEstablished) {
      this.close();
    }
  }

  /** Queues a packet; all packets of an event-loop turn are written at once. */
  private send(packet: OutgoingPacket): void {
    this.outgoing.add(packet);
    if (this.unsentBytes > MAXIMUM_UNSENT_BYTES) {
      this.fail('messages-unread', this.isEstablished);
      return;
    }
    if (!this.isFlushScheduled) {
      this.isFlushScheduled = true;
      process.nextTick(this.flushNow);
    }
  }

  private flush(): void {
    this.isFlushScheduled = false;
    const method = this.clientMethod ?? this.reader.method;
    if (
      this.isClosed ||
      !this.isEstablished ||
      method === undefined ||
      this.outgoing.bytes === 0
    ) {
      return;
    }
    // A write that succeeds at once is not followed by 'drain'.
    if (this.socket.write(this.outgoing.take(method))) {
      this.handleSent();
    }
  }

  /** Size of what was written and is not with the system yet. */
  private get unsentBytes(): number {
    return this.outgoing.bytes + this.socket.writableLength;
  }

  private handleSent(): void {
    this.reportDrain();
    if (this.isHeldBack && this.unsentBytes < HOLD_BACK_BYTES) {
      this.isHeldBack = false;
      this.readOn();
    }
  }

  /** Delivers what was received, then reads on. */
  private readOn(): void {
    this.deliver();
    if (!this.isPaused && !this.isHeldBack) {
      this.socket.resume();
    }
  }

  /** Holds a client back that does not read what is sent to it. */
  private holdBack(): boolean {
    if (
      this.clientMethod === undefined &&
      this.unsentBytes >= HOLD_BACK_BYTES &&
      !this.isHeldBack
    ) {
      this.isHeldBack = true;
      this.socket.pause();
    }
    return this.isHeldBack;
  }

  private reportDrain(): void {
    if (this.isDrainAwaited && !this.hasEnded && !this.isClosed) {
      this.isDrainAwaited = false;
      this.handlers?.onDrain();
    }
  }

  private receiveBytes(bytes: Buffer): void {
    this.silentTicks = 0;
    if (!this.isClosed) {
      this.reader.push(bytes);
      this.deliver();
    }
    if (!this.isClosed && this.reader.heldBytes > bytes.length) {
      this.events.onHeld?.();
    }
  }

  /** Delivers what was received until a handler pauses the stream. */
  private deliver(): void {
    if (this.isDelivering) {
      return;
    }
    this.isDelivering = true;
    try {
      while (!this.isPaused && !this.isClosed && !this.holdBack()) {
        const read = this.reader.next();
        if (read === undefined) {
          break;
        }
        this.receive(read);
      }
    } finally {
      this.isDelivering = false;
    }
  }

  private receive(read: PacketRead): void {
    switch (read) {
      case PACKET.message:
        this.handlers?.onMessage(this.reader.message);
        break;
      case PACKET.end:
        this.receiveEnd();
        break;
      case PACKET.probe:
        this.send(PACKET.probeReply);
        break;
      case PACKET.probeReply:
        break;
      case 'preface':
        this.events.onPreface(this.reader.method as PeerMethod);
        break;
      case 'violation':
        // A server of another protocol has handled no message.
        this.fail(
          this.reader.violation as PeerViolation,
          this.reader.method !== undefined,
        );
        break;
    }
  }

  private receiveEnd(): void {
    this.hasReceivedEnd = true;
    this.handlers?.onEnd();
    if (this.clientMethod !== undefined && !this.hasEnded) {
      // The server reads no more messages.
      this.cancel();
    }
    this.closeIfEnded();
  }

  private closeIfEnded(): void {
    if (this.hasEnded && this.hasReceivedEnd) {
      this.flush();
      if (this.markClosed()) {
        this.socket.destroySoon();
      }
    }
  }

  private fail(violation: PeerViolation, mayBeReceived: boolean): void {
    this.events.onViolation(violation);
    this.close(mayBeReceived);
  }

  private close(mayBeReceived = this.isEstablished): void {
    if (this.markClosed()) {
      this.socket.destroy();
      if (!mayBeReceived) {
        this.events.onConnectFailed?.();
      }
      this.handlers?.onError(mayBeReceived);
    }
  }

  /** Returns false if the stream was already over. */
  private markClosed(): boolean {
    if (this.isClosed) {
      return false;
    }
    this.isClosed = true;
    clearTimeout(this.connectTimer);
    this.outgoing.clear();
    this.events.onClosed();
    return true;
  }
}
