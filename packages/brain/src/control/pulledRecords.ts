// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What is made of what peers have sent. */

import type {RandomSource} from '@lockpin/types';
import type {ConfigurationKeeper} from './configurationKeeper.js';
import type {ControlAction, PeerReply} from './controlMessages.js';
import type {HolderRole} from './holderRole.js';
import type {LogFollower} from './logFollower.js';
import type {PullResult} from './peerPuller.js';

/** Folds records of the log that the own state was folded from, and no others. */
export class PulledRecords {
  constructor(
    private readonly keeper: ConfigurationKeeper,
    private readonly holders: HolderRole,
    private readonly follower: LogFollower,
  ) {}

  /** Takes in what one exchange has brought. */
  take(
    now: number,
    random: RandomSource,
    pulled: PullResult,
  ): readonly ControlAction[] {
    switch (pulled.kind) {
      case 'records':
        return this.takeRecords(now, random, pulled.reply);
      case 'snapshot-chunk':
        return this.keeper.shelf.add(pulled.chunk)
          ? this.follower.adoptSnapshot()
          : [];
      case 'nothing':
        return [];
    }
  }

  private takeRecords(
    now: number,
    random: RandomSource,
    reply: PeerReply & {readonly kind: 'records'},
  ): readonly ControlAction[] {
    const {holders, follower} = this;
    const named = reply.holders.flatMap((entry) => holders.apply(entry));
    holders.knownUpTo(reply.holdersPosition);
    const {keeper} = this;
    keeper.era ??= reply.records.length > 0 ? reply.era : undefined;
    if (reply.era !== keeper.era) {
      return named;
    }
    return [
      ...named,
      ...(reply.snapshot === undefined ? [] : follower.adoptSnapshot()),
      ...follower.fold(now, random, reply.records),
    ];
  }
}
