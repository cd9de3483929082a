// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Bytes that arrive in parts and are held as one piece. */

const EMPTY = Buffer.alloc(0);

/**
 * Parts may be as short as a byte, and a held part takes some hundred bytes of
 * the heap; so they are copied together.
 */
export class HeldBytes {
  private room: Buffer = EMPTY;
  private used = 0;

  get length(): number {
    return this.used;
  }

  add(part: Buffer): void {
    const needed = this.used + part.length;
    if (this.used === 0) {
      // Most bodies come in one part, which need not be copied.
      this.room = part;
    } else {
      this.makeRoom(needed);
      part.copy(this.room, this.used);
    }
    this.used = needed;
  }

  whole(): Buffer {
    return this.room.subarray(0, this.used);
  }

  /** Doubles the room, so that each byte is copied about once. */
  private makeRoom(needed: number): void {
    if (needed > this.room.length) {
      const size = Math.max(needed, 2 * this.room.length);
      const room = Buffer.allocUnsafe(size);
      this.room.copy(room, 0, 0, this.used);
      this.room = room;
    }
  }
}
