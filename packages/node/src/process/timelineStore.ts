// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The timeline of one node, kept in memory. */

import type {TimelineEvent} from '@lockpin/types';
import {RingBuffer, compareHybridTimes} from '@lockpin/utils';

const MAXIMUM_EVENTS = 20_000;

/** Keeps the latest events. */
export class TimelineStore {
  private readonly events = new RingBuffer<TimelineEvent>(MAXIMUM_EVENTS);

  add(event: TimelineEvent): void {
    this.events.push(event);
  }

  /** Returns events since a time in milliseconds, earliest first. */
  since(milliseconds: number): readonly TimelineEvent[] {
    return this.events
      .toArray()
      .filter(({time}) => time.milliseconds >= milliseconds)
      .sort((a, b) => compareHybridTimes(a.time, b.time));
  }
}
