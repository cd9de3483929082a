// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Assembles snapshots from chunks and keeps the newest one for peers. */

import type {SnapshotChunk} from '@lockpin/configuration';

/** Incomplete snapshots that are kept; beyond this, the oldest is dropped. */
const MAX_INCOMPLETE_SNAPSHOTS = 8;

/** Collects chunks, in any order and from several writers. */
export class SnapshotAssembler {
  private readonly incomplete = new Map<string, Map<number, SnapshotChunk>>();
  private complete: readonly SnapshotChunk[] = [];

  /** Version of the newest complete snapshot; -1 if there is none. */
  get version(): number {
    return this.complete[0]?.version ?? -1;
  }

  get chunks(): readonly SnapshotChunk[] {
    return this.complete;
  }

  /** Adds a chunk; true if it completed a newer snapshot. */
  add(chunk: SnapshotChunk): boolean {
    if (chunk.version <= this.version) {
      return false;
    }
    const parts = this.incomplete.get(chunk.writer) ?? new Map();
    this.incomplete.set(chunk.writer, parts.set(chunk.index, chunk));
    this.dropOldest();
    if (parts.size < chunk.count) {
      return false;
    }
    this.incomplete.delete(chunk.writer);
    this.complete = [...parts.values()].sort((a, b) => a.index - b.index);
    return true;
  }

  /** Drops the complete snapshot after it was found to be corrupt. */
  discard(): void {
    this.complete = [];
  }

  chunk(writer: string, index: number): SnapshotChunk | undefined {
    const chunk = this.complete[index];
    return chunk?.writer === writer ? chunk : undefined;
  }

  private dropOldest(): void {
    if (this.incomplete.size > MAX_INCOMPLETE_SNAPSHOTS) {
      const oldest = this.incomplete.keys().next().value;
      this.incomplete.delete(oldest as string);
    }
  }
}

/** Whether a record of the snapshots stream is a chunk. */
export function isSnapshotChunk(value: unknown): value is SnapshotChunk {
  const chunk = value as Partial<SnapshotChunk> | null;
  return (
    typeof chunk === 'object' &&
    chunk?.kind === 'snapshot-chunk' &&
    typeof chunk.writer === 'string' &&
    Number.isSafeInteger(chunk.version) &&
    Number.isSafeInteger(chunk.index) &&
    Number.isSafeInteger(chunk.count) &&
    typeof chunk.data === 'string'
  );
}
