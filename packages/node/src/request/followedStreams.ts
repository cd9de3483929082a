// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Streams to the nodes that this one follows; kept open while they are. */

import type {FollowedPeers} from '@lockpin/fleet';
import type {ExchangeStream} from './exchangeStream.js';

/** Opens a stream to each followed node, and again when it has broken. */
export class FollowedStreams {
  private readonly near = new Map<string, ExchangeStream>();
  private far: {readonly address: string; stream: ExchangeStream} | undefined;

  constructor(
    private readonly stream: (address: string) => ExchangeStream,
    /** The connection to an address may be dead without an end. */
    private readonly leaveConnection: (address: string) => void,
  ) {}

  /** Takes up the new ones and lets go of the others. */
  follow({near, far, silent}: FollowedPeers): void {
    for (const [address, stream] of this.near) {
      if (!near.includes(address)) {
        this.near.delete(address);
        this.letGo(address, stream, silent.includes(address));
      }
    }
    for (const address of near) {
      this.near.set(address, this.openNear(address, this.near.get(address)));
    }
    this.followFar(far);
  }

  /** Opens again what has broken. */
  reopen(): void {
    for (const [address, stream] of this.near) {
      this.near.set(address, this.openNear(address, stream));
    }
    if (this.far !== undefined && !this.far.stream.isUsable) {
      this.far.stream = this.openKept(this.far.address);
    }
  }

  private openNear(
    address: string,
    before: ExchangeStream | undefined,
  ): ExchangeStream {
    if (before?.isUsable) {
      return before;
    }
    const stream = this.openKept(address);
    stream.tell({kind: 'follow', isWanted: true});
    return stream;
  }

  private openKept(address: string): ExchangeStream {
    const stream = this.stream(address);
    stream.keep(true);
    return stream;
  }

  private followFar(address: string | undefined): void {
    if (this.far?.address === address) {
      return;
    }
    this.far?.stream.keep(false);
    this.far =
      address === undefined
        ? undefined
        : {address, stream: this.openKept(address)};
  }

  private letGo(
    address: string,
    stream: ExchangeStream,
    isSilent: boolean,
  ): void {
    stream.keep(false);
    if (isSilent) {
      this.leaveConnection(address);
    } else if (stream.isUsable) {
      stream.tell({kind: 'follow', isWanted: false});
    }
  }
}
