// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Notices that a version which peers told of does not come into force here. */

import type {FleetAction} from './fleetMessages.js';
import {note} from './fleetNote.js';

/** Most versions are in force sooner after a peer told of them. */
const LATE_MILLISECONDS = 1000;

/** What happened since the first peer told of a version that is not in force. */
interface AwaitedVersion {
  readonly firstAt: number;
  readonly firstAddress: string;
  newest: number;
  readonly tellers: Set<string>;
  questions: number;
  unanswered: number;
  isNoted: boolean;
}

/** Decides nothing; keeps what the log needs to say why a version is late. */
export class VersionWatch {
  private awaited: AwaitedVersion | undefined;

  /** A peer told the version that is in force there. */
  heard(now: number, address: string, version: number, inForce: number): void {
    if (version <= inForce) {
      return;
    }
    this.awaited ??= {
      firstAt: now,
      firstAddress: address,
      newest: version,
      tellers: new Set(),
      questions: 0,
      unanswered: 0,
      isNoted: false,
    };
    this.awaited.newest = Math.max(this.awaited.newest, version);
    this.awaited.tellers.add(address);
  }

  /** A peer is asked. */
  asked(): void {
    if (this.awaited !== undefined) {
      this.awaited.questions += 1;
    }
  }

  /** A peer that was asked did not answer. */
  unanswered(): void {
    if (this.awaited !== undefined) {
      this.awaited.unanswered += 1;
    }
  }

  /** Says once of each awaited version that it is late. */
  due(now: number, inForce: number): readonly FleetAction[] {
    const {awaited} = this;
    if (awaited !== undefined && awaited.newest <= inForce) {
      this.awaited = undefined;
      return [];
    }
    if (
      awaited === undefined ||
      awaited.isNoted ||
      now - awaited.firstAt < LATE_MILLISECONDS
    ) {
      return [];
    }
    awaited.isNoted = true;
    const {firstAddress, firstAt, newest, tellers} = awaited;
    return [
      note('configuration-late', String(newest), {
        inForce,
        firstTold: firstAddress,
        milliseconds: Math.round(now - firstAt),
        tellers: tellers.size,
        questions: awaited.questions,
        unanswered: awaited.unanswered,
      }),
    ];
  }
}
