// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Replies to the queries of peers. */

import type {BoxDirectory} from './boxDirectory.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {PeerQueryReply, PeerQuery} from './fleetMessages.js';

/** The last reply and what it was made from. */
interface CachedReply {
  readonly configuration: DeclaredConfiguration | undefined;
  readonly boxesDigest: number | undefined;
  readonly reply: PeerQueryReply;
}

/**
 * A whole data centre queries for a new version at the same time. All get the
 * same reply object, so that the sender encodes it only once.
 */
export class PeerReplies {
  private last: CachedReply | undefined;

  constructor(private readonly directory: BoxDirectory) {}

  /** Includes only what the querying node does not have. */
  replyTo(
    {version, boxesDigest}: PeerQuery,
    inForce: DeclaredConfiguration | undefined,
  ): PeerQueryReply {
    const {digest} = this.directory;
    const isNewer = inForce !== undefined && inForce.version > version;
    const sendsBoxes = boxesDigest !== undefined && boxesDigest !== digest;
    return this.cachedReply(
      isNewer ? inForce : undefined,
      sendsBoxes ? digest : undefined,
    );
  }

  private cachedReply(
    configuration: DeclaredConfiguration | undefined,
    boxesDigest: number | undefined,
  ): PeerQueryReply {
    const {last} = this;
    if (
      last !== undefined &&
      last.configuration === configuration &&
      last.boxesDigest === boxesDigest
    ) {
      return last.reply;
    }
    const boxes = boxesDigest === undefined ? [] : this.directory.all();
    const reply = {configuration, boxes};
    this.last = {configuration, boxesDigest, reply};
    return reply;
  }
}
