// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Watch streams: every change once, in order, and on how many nodes it is in
 * force.
 */

import type {ServerResponse} from 'node:http';
import type {ChangeEffect, FoldResult} from '@lockpin/configuration';
import {isFleetWide, mayRead, withoutSecrets} from '../operators/access.js';
import type {Operator} from '../operators/access.js';

/** Number of nodes that have a version in force, and of all usable nodes. */
export interface InForceCount {
  readonly nodes: number;
  readonly of: number;
  /** Some of the boxes that do not have it in force yet. */
  readonly missing: readonly string[];
}

/** Dependencies of a watch hub. */
export interface WatchHubDependencies {
  readonly version: () => number;
  readonly inForce: (version: number) => InForceCount;
  readonly onWatcherCount: (count: number) => void;
}

interface Watcher {
  readonly operator: Operator;
  readonly response: ServerResponse;
  /**
   * Versions not yet in force everywhere, with the node count that was last
   * sent.
   */
  readonly pendingVersions: Map<number, number>;
}

/** A watcher with more unread bytes is disconnected; it can resume. */
const MAXIMUM_UNREAD_BYTES = 4 * 1024 * 1024;

const BOOKMARK_INTERVAL_MILLISECONDS = 5000;
const IN_FORCE_INTERVAL_MILLISECONDS = 100;

/** Sends changes to watchers. */
export class WatchHub {
  private readonly watchers = new Set<Watcher>();
  private timers: readonly NodeJS.Timeout[] = [];

  constructor(private readonly dependencies: WatchHubDependencies) {}

  /** Adds a watcher and sends the changes that it has missed. */
  add(
    operator: Operator,
    response: ServerResponse,
    missed: readonly FoldResult[],
  ): void {
    const watcher: Watcher = {operator, response, pendingVersions: new Map()};
    response.writeHead(200, {'content-type': 'application/jsonl'});
    this.watchers.add(watcher);
    this.startTimers();
    response.on('close', () => this.remove(watcher));
    missed.forEach((fold) => this.sendChange(watcher, fold));
    this.write(watcher, {
      type: 'bookmark',
      version: this.dependencies.version(),
    });
    this.dependencies.onWatcherCount(this.watchers.size);
  }

  /** Sends new changes to all watchers. */
  sendChanges(folds: readonly FoldResult[]): void {
    for (const watcher of this.watchers) {
      folds.forEach((fold) => this.sendChange(watcher, fold));
    }
  }

  /**
   * Ends all watches after the state was replaced, since changes would be
   * missing.
   */
  expire(oldest: number): void {
    for (const watcher of this.watchers) {
      this.write(watcher, {type: 'version-expired', oldest});
      watcher.response.end();
    }
  }

  stop(): void {
    this.stopTimers();
    this.watchers.forEach(({response}) => response.end());
  }

  private startTimers(): void {
    if (this.timers.length === 0) {
      this.timers = [
        setInterval(() => this.bookmark(), BOOKMARK_INTERVAL_MILLISECONDS),
        setInterval(
          () => this.sendInForceCounts(),
          IN_FORCE_INTERVAL_MILLISECONDS,
        ),
      ];
    }
  }

  private stopTimers(): void {
    this.timers.forEach((timer) => clearInterval(timer));
    this.timers = [];
  }

  private remove(watcher: Watcher): void {
    this.watchers.delete(watcher);
    if (this.watchers.size === 0) {
      this.stopTimers();
    }
    this.dependencies.onWatcherCount(this.watchers.size);
  }

  private sendChange(watcher: Watcher, fold: FoldResult): void {
    const {outcome, changeId, author} = fold;
    const effects = fold.effects.filter(({kind, name}) =>
      mayRead(watcher.operator, kind, name),
    );
    if (outcome.kind !== 'accepted' || effects.length === 0) {
      return;
    }
    const {version} = outcome;
    watcher.pendingVersions.set(version, -1);
    this.write(watcher, {
      type: 'change',
      version,
      changeId,
      author,
      effects: effects.map(toVisibleEffect),
    });
  }

  private sendInForceCounts(): void {
    for (const watcher of this.watchers) {
      for (const [version, sentCount] of watcher.pendingVersions) {
        const count = this.dependencies.inForce(version);
        if (count.nodes !== sentCount) {
          watcher.pendingVersions.set(version, count.nodes);
          this.write(
            watcher,
            createInForceEvent(watcher.operator, version, count),
          );
        }
        if (count.nodes >= count.of) {
          watcher.pendingVersions.delete(version);
        }
      }
    }
  }

  private bookmark(): void {
    const version = this.dependencies.version();
    this.watchers.forEach((watcher) =>
      this.write(watcher, {type: 'bookmark', version}),
    );
  }

  private write(watcher: Watcher, event: unknown): void {
    const {response} = watcher;
    if (response.writableLength > MAXIMUM_UNREAD_BYTES) {
      response.destroy();
      return;
    }
    response.write(`${JSON.stringify(event)}\n`);
  }
}

function toVisibleEffect({kind, name, before, after}: ChangeEffect): unknown {
  return {
    kind,
    name,
    before: before && withoutSecrets(before),
    after: after && withoutSecrets(after),
  };
}

/**
 * Operators of a single customer see the number of nodes, but not the names of
 * boxes.
 */
function createInForceEvent(
  operator: Operator,
  version: number,
  {nodes, of, missing}: InForceCount,
): unknown {
  const isEverywhere = nodes >= of;
  const event = {type: 'in-force', version, nodes, of, isEverywhere};
  return isFleetWide(operator) ? {...event, missing} : event;
}
