// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The decisions of the transport between nodes, without connections. */

import {describe, expect, it} from 'vitest';
import {seededRandom} from '@lockpin/utils';
import {PeerPacketReader} from '../connection/peerPacketReader.js';
import {probeAction} from '../connection/peerProbes.js';
import {
  HEADER_BYTES,
  MAXIMUM_MESSAGE_BYTES,
  PACKET,
  PREFACE_BYTES,
  writeHeader,
  writePreface,
} from '../connection/peerProtocol.js';
import {countFailedConnect, mayConnect} from '../connection/peerReconnect.js';
import type {FailedConnects} from '../connection/peerReconnect.js';
import {writeBatch} from '../request/exchangeStreamBatch.js';
import {FrameBatch, decodeBatch} from '../request/frameBatch.js';

function preface(): Buffer {
  const bytes = Buffer.alloc(PREFACE_BYTES);
  writePreface(bytes, 'call');
  return bytes;
}

function packet(content: Buffer, length = content.length): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  writeHeader(header, 0, PACKET.message, length);
  return Buffer.concat([header, content]);
}

function readAll(reader: PeerPacketReader): unknown[] {
  const items: unknown[] = [];
  for (let read = reader.next(); read !== undefined; read = reader.next()) {
    items.push(read === PACKET.message ? reader.message.toString() : read);
  }
  return items;
}

describe('the packet reader', () => {
  // Guards against messages that are lost or mixed up at the edges of reads.
  it('reads the same packets however the bytes are cut', () => {
    const random = seededRandom(1);
    const contents = Array.from({length: 40}, (_, i) => `${i}`.repeat(i * i));
    const bytes = Buffer.concat([
      preface(),
      ...contents.map((content) => packet(Buffer.from(content))),
    ]);
    for (let round = 0; round < 50; round += 1) {
      const reader = new PeerPacketReader();
      const items: unknown[] = [];
      for (let start = 0; start < bytes.length;) {
        const end = start + 1 + Math.floor(random() * 2000);
        reader.push(bytes.subarray(start, end));
        items.push(...readAll(reader));
        start = end;
      }
      expect(items).toEqual(['preface', ...contents]);
    }
  });

  it.each([
    ['a wrong first byte', Buffer.from('P'), 'wrong-first-byte'],
    ['an unknown version', Buffer.from([0xf5, 99, 0]), 'unknown-version'],
    ['an unknown method', Buffer.from([0xf5, 1, 9]), 'unknown-method'],
    [
      'a length over the limit',
      Buffer.concat([
        preface(),
        packet(Buffer.alloc(0), MAXIMUM_MESSAGE_BYTES + 1),
      ]),
      'message-too-long',
    ],
    [
      'an unknown kind of packet',
      Buffer.concat([preface(), Buffer.from([9, 0, 0, 0])]),
      'unknown-packet',
    ],
  ])('reports %s', (_name, bytes, violation) => {
    const reader = new PeerPacketReader();
    reader.push(bytes);
    expect(readAll(reader).at(-1)).toBe('violation');
    expect(reader.violation).toBe(violation);
  });
});

it('connects to a failing peer after 100 ms, then at growing intervals', () => {
  let failed: FailedConnects | undefined;
  let now = 0;
  const intervals = Array.from({length: 7}, () => {
    failed = countFailedConnect(failed, now);
    const failedAt = now;
    while (!mayConnect(failed, now)) {
      now += 50;
    }
    return now - failedAt;
  });
  expect(intervals).toEqual([100, 200, 400, 800, 1600, 2000, 2000]);
});

it('probes after 20 s of silence and gives up one tick of 5 s later', () => {
  const actions = Array.from({length: 6}, (_, ticks) => probeAction(ticks + 1));
  expect(actions).toEqual(['none', 'none', 'none', 'none', 'probe', 'drop']);
});

// A batch over the limit would close the stream with all its exchanges.
it('splits a batch that is larger than a message may be', async () => {
  const messages: Buffer[] = [];
  const bytes = await new Promise<Buffer>((resolve) => {
    const batch = new FrameBatch(resolve);
    for (let number = 1; number <= 20; number += 1) {
      batch.add(number, {kind: 'chunk', bytes: Buffer.alloc(number * 10)});
    }
  });
  const write = (message: Buffer): boolean => messages.push(message) > 0;
  writeBatch({write}, bytes, 300);
  expect(Math.max(...messages.map(({length}) => length))).toBeLessThan(301);
  expect(messages.flatMap((message) => decodeBatch(message))).toEqual(
    decodeBatch(bytes),
  );
});
