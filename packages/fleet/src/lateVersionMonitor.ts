// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detects that a version reported by peers does not come into force here. */

import type {FleetAction} from './fleetMessages.js';
import {logEvent} from './logEvent.js';

/**
 * Most versions come into force within this time after the first report of a
 * peer.
 */
const LATE_AFTER_MILLISECONDS = 1000;

/** Events since the first peer reported a version that is not in force. */
interface AwaitedVersion {
  readonly firstReportedAt: number;
  readonly firstAddress: string;
  newest: number;
  readonly tellers: Set<string>;
  questions: number;
  unanswered: number;
  isLogged: boolean;
}

/**
 * Makes no decisions; collects what the log needs to explain a late version.
 */
export class LateVersionMonitor {
  private awaited: AwaitedVersion | undefined;

  /** A peer reported the version in force there. */
  versionReported(
    now: number,
    address: string,
    version: number,
    inForce: number,
  ): void {
    if (version <= inForce) {
      return;
    }
    this.awaited ??= {
      firstReportedAt: now,
      firstAddress: address,
      newest: version,
      tellers: new Set(),
      questions: 0,
      unanswered: 0,
      isLogged: false,
    };
    this.awaited.newest = Math.max(this.awaited.newest, version);
    this.awaited.tellers.add(address);
  }

  /** A peer was queried. */
  peerQueried(): void {
    if (this.awaited !== undefined) {
      this.awaited.questions += 1;
    }
  }

  /** A queried peer did not reply. */
  unanswered(): void {
    if (this.awaited !== undefined) {
      this.awaited.unanswered += 1;
    }
  }

  /** Logs each awaited version that is late once. */
  due(now: number, inForce: number): readonly FleetAction[] {
    const {awaited} = this;
    if (awaited !== undefined && awaited.newest <= inForce) {
      this.awaited = undefined;
      return [];
    }
    if (
      awaited === undefined ||
      awaited.isLogged ||
      now - awaited.firstReportedAt < LATE_AFTER_MILLISECONDS
    ) {
      return [];
    }
    awaited.isLogged = true;
    const {firstAddress, firstReportedAt, newest, tellers} = awaited;
    return [
      logEvent('configuration-late', String(newest), {
        inForce,
        firstTold: firstAddress,
        milliseconds: Math.round(now - firstReportedAt),
        tellers: tellers.size,
        questions: awaited.questions,
        unanswered: awaited.unanswered,
      }),
    ];
  }
}
