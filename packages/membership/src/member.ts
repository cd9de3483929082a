// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A node as known to the other nodes. */

/** Identity that a node announces; constant for the life of its process. */
export interface MemberIdentity {
  readonly box: string;
  readonly dataCentre: string;
  /** Where its peers reach it, over TCP and UDP. */
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly operatorAddress: string;
  /** Identifies this process on the box; later processes sort after it. */
  readonly incarnation: string;
}

/** Liveness of a node, as seen by other nodes. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** A node with its liveness; disseminated from node to node. */
export interface Member extends MemberIdentity {
  readonly state: MemberState;
  /** Incremented by the node itself to refute a suspicion. */
  readonly refutation: number;
  /** Whether it wants to be notified of the version in force on each node. */
  readonly isWatching: boolean;
}

const STATE_ORDER: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/** Whether an update of a member replaces its known state. */
export function supersedes(update: Member, known: Member): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if (update.refutation !== known.refutation) {
    return update.refutation > known.refutation;
  }
  return STATE_ORDER[update.state] > STATE_ORDER[known.state];
}

/** Whether calls may be routed through a member. */
export function isUsable(member: Member): boolean {
  return member.state === 'alive' || member.state === 'suspect';
}
