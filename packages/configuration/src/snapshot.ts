// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Encodes a state as chunks with checksums, and decodes it. */

import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {AnyResource, ChangeOutcome, Era, Result} from '@lockpin/types';
import {failure, sha256Hex, success} from '@lockpin/utils';
import {ConfigurationState} from './configurationState.js';

/** Bytes of compressed state in one chunk. */
export const SNAPSHOT_CHUNK_BYTES = 48 * 1024;

/** One part of a snapshot, as stored in the log or sent between peers. */
export interface SnapshotChunk {
  readonly kind: 'snapshot-chunk';
  /** Distinguishes the snapshots of several writers at one version. */
  readonly writer: string;
  /** Version of the state in the snapshot. */
  readonly version: number;
  /** Era of the log that the state was folded from. */
  readonly era: Era;
  /** Digest of the state; equal snapshots have equal digests. */
  readonly digest: string;
  readonly index: number;
  readonly count: number;
  /** SHA-256 of the compressed bytes. */
  readonly checksum: string;
  /** Compressed bytes in base64. */
  readonly data: string;
}

/** Why a snapshot cannot be used. */
export type SnapshotFailure =
  | {readonly kind: 'chunk-missing'; readonly index: number}
  | {readonly kind: 'chunk-corrupt'; readonly index: number}
  | {readonly kind: 'digest-differs'; readonly found: string};

interface SnapshotContent {
  readonly version: number;
  readonly resources: readonly AnyResource[];
  readonly outcomes: readonly (readonly [string, ChangeOutcome])[];
}

/** Splits the state into chunks that can be identified and verified. */
export function encodeSnapshot(
  state: ConfigurationState,
  writer: string,
  era: Era,
): readonly SnapshotChunk[] {
  const content: SnapshotContent = {
    version: state.version,
    resources: [...state.all()],
    outcomes: [...state.rememberedOutcomes()],
  };
  const bytes = deflateRawSync(JSON.stringify(content));
  const count = Math.max(1, Math.ceil(bytes.length / SNAPSHOT_CHUNK_BYTES));
  return Array.from({length: count}, (_, index) => {
    const start = index * SNAPSHOT_CHUNK_BYTES;
    const part = bytes.subarray(start, start + SNAPSHOT_CHUNK_BYTES);
    return {
      kind: 'snapshot-chunk',
      writer,
      version: state.version,
      era,
      digest: state.digest,
      index,
      count,
      checksum: sha256Hex(part),
      data: part.toString('base64'),
    };
  });
}

/** Assembles and verifies a snapshot, or returns why it is unusable. */
export function decodeSnapshot(
  chunks: readonly SnapshotChunk[],
): Result<ConfigurationState, SnapshotFailure> {
  const parts: Buffer[] = [];
  const count = chunks[0]?.count ?? 1;
  for (let index = 0; index < count; index += 1) {
    const chunk = chunks.find((candidate) => candidate.index === index);
    if (chunk === undefined) {
      return failure({kind: 'chunk-missing', index});
    }
    const part = Buffer.from(chunk.data, 'base64');
    if (sha256Hex(part) !== chunk.checksum) {
      return failure({kind: 'chunk-corrupt', index});
    }
    parts.push(part);
  }
  const expected = chunks[0]?.digest ?? '';
  const state = decodeState(Buffer.concat(parts));
  if (state === undefined) {
    return failure({kind: 'chunk-corrupt', index: 0});
  }
  return state.digest === expected
    ? success(state)
    : failure({kind: 'digest-differs', found: state.digest});
}

function decodeState(bytes: Buffer): ConfigurationState | undefined {
  const content = decompress(bytes);
  if (content === undefined) {
    return undefined;
  }
  const state = new ConfigurationState();
  const byDepth = [...content.resources].sort(
    (a, b) => a.name.split('/').length - b.name.split('/').length,
  );
  byDepth.forEach((resource) => state.put(resource));
  content.outcomes.forEach(([id, outcome]) =>
    state.rememberOutcome(id, outcome),
  );
  state.version = content.version;
  return state;
}

function decompress(bytes: Buffer): SnapshotContent | undefined {
  try {
    return JSON.parse(inflateRawSync(bytes).toString('utf8'));
  } catch {
    return undefined;
  }
}
