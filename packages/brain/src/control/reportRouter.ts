// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Routes guards' reports to the permit holders and returns the replies. */

import type {GuardReport, HolderReply} from '@lockpin/floor';
import type {ConfigurationReplica} from './configurationReplica.js';
import type {ControlAction, PeerReply, PeerRequest} from './controlMessages.js';
import type {HolderRole} from './holderRole.js';

/** Reports awaiting a reply; beyond this many, the oldest is dropped. */
const MAX_PENDING_REPORTS = 1000;

/** Answers reports locally when this node holds the permits. */
export class ReportRouter {
  private serial = 0;
  private readonly pendingServices = new Map<string, string>();

  constructor(
    private readonly box: string,
    private readonly replica: ConfigurationReplica,
    private readonly holders: HolderRole,
  ) {}

  route(
    now: number,
    service: string,
    reports: readonly GuardReport[],
  ): readonly ControlAction[] {
    const {state} = this.replica;
    const localReplies = this.holders.answer(now, state, service, reports);
    if (localReplies !== undefined) {
      return replyActions(service, localReplies);
    }
    const holder = this.holders.holderOf(service);
    if (holder === undefined || holder.box === this.box) {
      return [];
    }
    const request: PeerRequest = {kind: 'reports', service, reports};
    const token = this.createToken(service);
    const address = holder.peerAddress;
    return [{kind: 'exchange', token, address, request}];
  }

  /** Whether the token belongs to reports sent to another node. */
  owns(token: string): boolean {
    return this.pendingServices.has(token);
  }

  exchangeEnded(
    token: string,
    reply: PeerReply | undefined,
  ): readonly ControlAction[] {
    const service = this.pendingServices.get(token);
    this.pendingServices.delete(token);
    return service !== undefined && reply?.kind === 'reports'
      ? replyActions(service, reply.replies)
      : [];
  }

  private createToken(service: string): string {
    this.serial += 1;
    const token = `report ${this.serial}`;
    this.pendingServices.set(token, service);
    if (this.pendingServices.size > MAX_PENDING_REPORTS) {
      const oldest = this.pendingServices.keys().next().value;
      this.pendingServices.delete(oldest as string);
    }
    return token;
  }
}

function replyActions(
  service: string,
  replies: readonly HolderReply[],
): readonly ControlAction[] {
  return replies.map((reply) => ({kind: 'holder-replied', service, reply}));
}
