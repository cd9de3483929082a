// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node reads of the store's streams, and whether the store answers. */

import type {RandomSource} from '@lockpin/types';
import type {FleetAction} from './fleetMessages.js';
import {note} from './fleetNote.js';
import type {RecordPage, RecordStream, StoreResult} from './recordStore.js';
import {StreamFollower} from './streamFollower.js';

/** Failed reads in a row after which the store counts as lost. */
const FAILURES_TO_LOSE_STORE = 2;

/** Follows both streams; notes when the store is lost, and regained. */
export class StoreReading {
  private readonly followers: Readonly<Record<RecordStream, StreamFollower>> = {
    configuration: new StreamFollower('configuration'),
    boxes: new StreamFollower('boxes'),
  };
  private hasLostStore = false;

  /** Several reads in a row have failed, and none has ended well since. */
  get isLost(): boolean {
    return this.hasLostStore;
  }

  /** Newer configurations may not come from the store: peers are asked instead. */
  get isInTrouble(): boolean {
    return this.isLost || this.followers.configuration.failureCount > 0;
  }

  /** Whether this node has read who is in the fleet. */
  get hasReadBoxes(): boolean {
    return this.followers.boxes.hasRead;
  }

  /** The reads that are due now. */
  due(
    now: number,
    random: RandomSource,
    nodes: number,
  ): readonly FleetAction[] {
    return Object.values(this.followers).flatMap(
      (follower) => follower.due(now, random, nodes) ?? [],
    );
  }

  /** Takes in the end of a read; says what is to be noted of it. */
  ended(
    now: number,
    random: RandomSource,
    stream: RecordStream,
    result: StoreResult<RecordPage>,
  ): readonly FleetAction[] {
    const follower = this.followers[stream];
    follower.ended(now, random, result);
    if (result.ok) {
      const wasLost = this.hasLostStore;
      this.hasLostStore = false;
      return wasLost ? [note('store-regained', stream, {})] : [];
    }
    const {failureCount} = follower;
    if (this.hasLostStore || failureCount < FAILURES_TO_LOSE_STORE) {
      return [];
    }
    this.hasLostStore = true;
    const {kind, detail} = result.failure;
    return [note('store-lost', stream, {kind, detail, failureCount})];
  }
}
