// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node answers when another one asks for records, members or permits. */

import type {Membership} from '@lockpin/membership';
import type {ConfigurationKeeper} from './configurationKeeper.js';
import type {ControlAction, PeerReply, PeerRequest} from './controlMessages.js';
import type {HolderRole} from './holderRole.js';

/** Answers from what is known here. */
export class PeerServing {
  constructor(
    private readonly membership: Membership,
    private readonly keeper: ConfigurationKeeper,
    private readonly holders: HolderRole,
  ) {}

  /** The answer to one request. */
  serve(now: number, token: string, request: PeerRequest): ControlAction {
    return {kind: 'reply', token, reply: this.replyTo(now, request)};
  }

  private replyTo(now: number, request: PeerRequest): PeerReply {
    const {keeper, holders} = this;
    switch (request.kind) {
      case 'records':
        return {
          kind: 'records',
          version: keeper.version,
          era: keeper.era,
          ...this.recordsFor(request),
          holders: holders.entriesFrom(request.holders),
          holdersPosition: holders.position,
        };
      case 'snapshot-chunk':
        return keeper.chunkReply(request.writer, request.index);
      case 'members':
        return {kind: 'members', members: this.membership.all()};
      case 'reports': {
        const {service, reports} = request;
        const replies = holders.answer(now, keeper.state, service, reports);
        return replies === undefined
          ? {kind: 'not-holder'}
          : {kind: 'reports', replies};
      }
    }
  }

  /** Records of another history would not follow on from what the asker has. */
  private recordsFor({
    version,
    era,
  }: PeerRequest & {readonly kind: 'records'}): ReturnType<
    ConfigurationKeeper['recordsFor']
  > {
    const isSameLog = era === undefined || era === this.keeper.era;
    return isSameLog
      ? this.keeper.recordsFor(version)
      : {records: [], snapshot: undefined};
  }
}
