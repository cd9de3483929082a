// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Applies the results of pulls from peers. */

import type {RandomSource} from '@lockpin/types';
import type {ConfigurationReplica} from './configurationReplica.js';
import type {ControlAction, PeerReply} from './controlMessages.js';
import type {HolderRole} from './holderRole.js';
import type {LogFollower} from './logFollower.js';
import type {PullResult} from './peerPuller.js';

/** Folds only records of the era that the local state was folded from. */
export class PullResultHandler {
  constructor(
    private readonly replica: ConfigurationReplica,
    private readonly holders: HolderRole,
    private readonly follower: LogFollower,
  ) {}

  /** Handles the result of one exchange. */
  handle(
    now: number,
    random: RandomSource,
    pulled: PullResult,
  ): readonly ControlAction[] {
    switch (pulled.kind) {
      case 'records':
        return this.handleRecords(now, random, pulled.reply);
      case 'snapshot-chunk':
        return this.replica.snapshots.add(pulled.chunk)
          ? this.follower.adoptSnapshot()
          : [];
      case 'nothing':
        return [];
    }
  }

  private handleRecords(
    now: number,
    random: RandomSource,
    reply: PeerReply & {readonly kind: 'records'},
  ): readonly ControlAction[] {
    const {holders, follower} = this;
    const holderActions = reply.holders.flatMap((entry) =>
      holders.apply(entry),
    );
    holders.advancePosition(reply.holdersPosition);
    const {replica} = this;
    replica.era ??= reply.records.length > 0 ? reply.era : undefined;
    if (reply.era !== replica.era) {
      return holderActions;
    }
    return [
      ...holderActions,
      ...(reply.snapshot === undefined ? [] : follower.adoptSnapshot()),
      ...follower.fold(now, random, reply.records),
    ];
  }
}
