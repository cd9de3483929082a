// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Keeps streams open to the nodes that this node follows. */

import type {FollowedPeers} from '@lockpin/fleet';
import type {ExchangeStream} from './exchangeStream.js';

/** Opens a stream to each followed node, and reopens broken ones. */
export class FollowedStreams {
  private readonly near = new Map<string, ExchangeStream>();
  private far: {readonly address: string; stream: ExchangeStream} | undefined;

  constructor(
    private readonly openStream: (address: string) => ExchangeStream,
    /** Replaces a connection that may be dead without having been closed. */
    private readonly dropConnection: (address: string) => void,
  ) {}

  /** Follows the given nodes and unfollows all others. */
  follow({near, far, silent}: FollowedPeers): void {
    for (const [address, stream] of this.near) {
      if (!near.includes(address)) {
        this.near.delete(address);
        this.unfollow(address, stream, silent.includes(address));
      }
    }
    for (const address of near) {
      this.near.set(
        address,
        this.openFollowed(address, this.near.get(address)),
      );
    }
    this.followFar(far);
  }

  /** Reopens broken streams. */
  reopen(): void {
    for (const [address, stream] of this.near) {
      this.near.set(address, this.openFollowed(address, stream));
    }
    if (this.far !== undefined && !this.far.stream.isUsable) {
      this.far.stream = this.openKept(this.far.address);
    }
  }

  private openFollowed(
    address: string,
    existing: ExchangeStream | undefined,
  ): ExchangeStream {
    if (existing?.isUsable) {
      return existing;
    }
    const stream = this.openKept(address);
    stream.sendNews({kind: 'follow', isWanted: true});
    return stream;
  }

  private openKept(address: string): ExchangeStream {
    const stream = this.openStream(address);
    stream.setKeptOpen(true);
    return stream;
  }

  private followFar(address: string | undefined): void {
    if (this.far?.address === address) {
      return;
    }
    this.far?.stream.setKeptOpen(false);
    this.far =
      address === undefined
        ? undefined
        : {address, stream: this.openKept(address)};
  }

  private unfollow(
    address: string,
    stream: ExchangeStream,
    isSilent: boolean,
  ): void {
    stream.setKeptOpen(false);
    if (isSilent) {
      this.dropConnection(address);
    } else if (stream.isUsable) {
      stream.sendNews({kind: 'follow', isWanted: false});
    }
  }
}
