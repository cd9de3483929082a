// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Answers requests of other nodes for records, members and permits. */

import type {Membership} from '@lockpin/membership';
import type {ConfigurationReplica} from './configurationReplica.js';
import type {ControlAction, PeerReply, PeerRequest} from './controlMessages.js';
import type {HolderRole} from './holderRole.js';

/** Answers peer requests from this node's own state. */
export class PeerRequestHandler {
  constructor(
    private readonly membership: Membership,
    private readonly replica: ConfigurationReplica,
    private readonly holders: HolderRole,
  ) {}

  handle(now: number, token: string, request: PeerRequest): ControlAction {
    return {kind: 'reply', token, reply: this.replyTo(now, request)};
  }

  private replyTo(now: number, request: PeerRequest): PeerReply {
    const {replica, holders} = this;
    switch (request.kind) {
      case 'records':
        return {
          kind: 'records',
          version: replica.version,
          era: replica.era,
          ...this.recordsFor(request),
          holders: holders.entriesFrom(request.holders),
          holdersPosition: holders.position,
        };
      case 'snapshot-chunk':
        return replica.chunkReply(request.writer, request.index);
      case 'members':
        return {kind: 'members', members: this.membership.all()};
      case 'reports': {
        const {service, reports} = request;
        const replies = holders.answer(now, replica.state, service, reports);
        return replies === undefined
          ? {kind: 'not-holder'}
          : {kind: 'reports', replies};
      }
    }
  }

  /** Records of another era would not continue the requester's state. */
  private recordsFor({
    version,
    era,
  }: PeerRequest & {readonly kind: 'records'}): ReturnType<
    ConfigurationReplica['recordsSince']
  > {
    const isSameEra = era === undefined || era === this.replica.era;
    return isSameEra
      ? this.replica.recordsSince(version)
      : {records: [], snapshot: undefined};
  }
}
