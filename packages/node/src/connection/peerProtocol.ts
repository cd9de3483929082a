// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The wire protocol between nodes. Each end of a TCP connection first sends a
 * preface of three bytes: FIRST_BYTE, the protocol version and the method. It is
 * followed by packets: a header of four bytes (kind, then the length in three
 * bytes) and, in messages, the bytes of the message.
 */

/** No text protocol, TLS record or HTTP/2 frame starts with this byte. */
export const FIRST_BYTE = 0xf5;

/** Version of the wire protocol that this release speaks. */
export const PROTOCOL_VERSION = 1;

/** Size of the preface in bytes. */
export const PREFACE_BYTES = 3;

/** Size of a packet's header in bytes. */
export const HEADER_BYTES = 4;

/** Largest size of a message in bytes. */
export const MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024;

/**
 * What a connection carries: a stream that multiplexes exchanges, one exchange
 * with a streamed request body, or single requests with their replies.
 */
export type PeerMethod = 'exchanges' | 'call' | 'requests';

/** The code of a method is its index in this list. */
const METHODS = ['exchanges', 'call', 'requests'] as const;

/** Kinds of packets; a kind's value is the first byte of its header. */
export const PACKET = {
  message: 0,
  /** The sender sends no more messages. */
  end: 1,
  /** Asks the other end for a probe reply. */
  probe: 2,
  probeReply: 3,
} as const;

/** The kind of a packet. */
export type PacketKind = (typeof PACKET)[keyof typeof PACKET];

/** Why a connection was closed: the other end violated the protocol. */
export type PeerViolation =
  | 'wrong-first-byte'
  | 'unknown-version'
  | 'unknown-method'
  | 'unknown-packet'
  | 'message-too-long'
  | 'malformed-message'
  /** It does not read what is sent to it. */
  | 'messages-unread'
  /** All connections hold too many bytes of messages, and it holds the most. */
  | 'memory-exhausted';

/** Writes the preface of a connection to the start of a buffer. */
export function writePreface(target: Buffer, method: PeerMethod): void {
  target[0] = FIRST_BYTE;
  target[1] = PROTOCOL_VERSION;
  target[2] = METHODS.indexOf(method);
}

/** Returns the method with a code; undefined if the code is unknown. */
export function methodOf(code: number): PeerMethod | undefined {
  return METHODS[code];
}

/** Writes the header of a packet. */
export function writeHeader(
  target: Buffer,
  offset: number,
  kind: PacketKind,
  length: number,
): void {
  target[offset] = kind;
  target.writeUIntBE(length, offset + 1, HEADER_BYTES - 1);
}
