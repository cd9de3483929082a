// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** When a node folds a restored log anew, and when what came of it is in force. */

import {isLogReader, isUsable} from '@lockpin/membership';
import type {DatagramHeader, Membership} from '@lockpin/membership';
import type {Era, RandomSource} from '@lockpin/types';
import {stableHash} from '@lockpin/utils';
import type {ConfigurationKeeper} from './configurationKeeper.js';
import type {ControlAction} from './controlMessages.js';
import {LogRestore} from './logRestore.js';
import {timelineAction} from './timelineAction.js';

/**
 * Nodes that do not read the log hear of a restore from those that do, mostly with the
 * same state; those that have another one read the log themselves within this time.
 */
const SPREAD_MILLISECONDS = 10_000;

/** A state that differs again after it was folded anew is not pressed. */
const FOLD_ANEW_PAUSE_MILLISECONDS = 30_000;

/** Nodes that do not read the log write after all that do. */
const TURNS_OF_READERS = 10;

/** What a restore needs of its node. */
export interface RestoreKeeperParts {
  readonly membership: Membership;
  readonly keeper: ConfigurationKeeper;
  readonly isReader: () => boolean;
}

/** Knows the newest era of the log, and brings this node's state into it. */
export class RestoreKeeper {
  private restore: LogRestore | undefined;
  private newest: Era | undefined;
  private beginAt = 0;
  private foldAnewAfter = 0;
  private count = 0;

  constructor(private readonly parts: RestoreKeeperParts) {}

  /** The restore under way; undefined where the state is of the newest era. */
  get current(): LogRestore | undefined {
    return this.restore;
  }

  /** The log has a newer history than the one in force here. */
  get isPending(): boolean {
    const {era} = this.parts.keeper;
    const isBehind =
      era !== undefined && this.newest !== undefined && this.newest > era;
    return isBehind || this.restore !== undefined;
  }

  /** Restores of the log that this process has been through. */
  get restoreCount(): number {
    return this.count;
  }

  /** An answer of the log tells its era; true for one of an earlier history. */
  isOutdated(now: number, era: Era): boolean {
    const {keeper} = this.parts;
    keeper.era ??= era;
    this.heardOfEra(era, now);
    return era < (this.newest ?? era);
  }

  /** A peer tells what is in force there, and of which history. */
  peerHeard(
    now: number,
    random: RandomSource,
    {era, version, digest}: DatagramHeader,
  ): readonly ControlAction[] {
    const {keeper, isReader} = this.parts;
    if (keeper.era === undefined || era <= keeper.era) {
      return [];
    }
    if (era === (this.newest ?? era) && keeper.isSameAs(version, digest)) {
      this.newest = era;
      return this.sameState(era);
    }
    this.heardOfEra(
      era,
      isReader() ? now : now + random() * SPREAD_MILLISECONDS,
    );
    return [];
  }

  /**
   * A node with the same log has another state: one of them went by a snapshot of a history
   * that is gone. What was written in this era alone is trusted.
   */
  foldAnew(now: number): void {
    const {era} = this.parts.keeper;
    if (era !== undefined && !this.isPending && now >= this.foldAnewAfter) {
      this.foldAnewAfter = now + FOLD_ANEW_PAUSE_MILLISECONDS;
      this.begin(era, true);
    }
  }

  /** Begins what is due, and goes on with what is under way. */
  tick(now: number): readonly ControlAction[] {
    const {newest} = this;
    const {era = newest} = this.parts.keeper;
    const isBehind =
      newest !== undefined && newest !== era && this.restore?.era !== newest;
    if (isBehind && now >= this.beginAt) {
      this.begin(newest, false);
    }
    return this.restore?.tick(now) ?? [];
  }

  private begin(era: Era, onlyThisEra: boolean): void {
    this.restore = new LogRestore({
      era,
      onlyThisEra,
      before: this.parts.keeper,
      turn: () => this.turn(era),
    });
  }

  /** Puts the new state in force once it is complete; empty before. */
  finish(now: number): readonly ControlAction[] {
    const {restore} = this;
    if (restore?.isComplete(now) !== true) {
      return [];
    }
    const {keeper, membership} = this.parts;
    const {successor, era, rewritten} = restore;
    const lost = restore.lostChanges();
    const isSame = keeper.isSameAs(successor.version, successor.state.digest);
    keeper.replaceBy(successor);
    this.restore = undefined;
    this.count += 1;
    const {version} = keeper;
    const detail = {era, version, rewritten, lost: lost.length};
    return [
      ...(isSame ? [] : [{kind: 'state-replaced'} as const]),
      timelineAction('log-restored', membership.own.box, detail),
      ...lost.map(({changeId, outcome}) =>
        timelineAction('change-lost', changeId, {
          era,
          outcome: outcome?.kind ?? 'not-in-the-log',
        }),
      ),
    ];
  }

  private sameState(era: Era): readonly ControlAction[] {
    const {keeper, membership} = this.parts;
    keeper.era = era;
    this.restore = undefined;
    this.count += 1;
    const detail = {era, version: keeper.version, rewritten: 0, lost: 0};
    return [timelineAction('log-restored', membership.own.box, detail)];
  }

  private heardOfEra(era: Era, beginAt: number): void {
    const {keeper} = this.parts;
    if (era > Math.max(this.newest ?? 0, keeper.era ?? era)) {
      this.newest = era;
      this.beginAt = beginAt;
    } else if (era === this.newest) {
      this.beginAt = Math.min(this.beginAt, beginAt);
    }
  }

  /** Nodes that write again before this one what the log has lost. */
  private turn(era: Era): number {
    const {membership, isReader} = this.parts;
    const members = membership.all();
    const rank = (box: string): number => stableHash(`${era} ${box}`);
    const ownRank = rank(membership.own.box);
    const before = members.filter(
      (member) =>
        isUsable(member) &&
        rank(member.box) < ownRank &&
        isLogReader(member, members),
    ).length;
    return isReader() ? before : TURNS_OF_READERS + before;
  }
}
