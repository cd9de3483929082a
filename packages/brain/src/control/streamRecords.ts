// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Interprets the streams of the log and their records. */

import type {FoldResult} from '@lockpin/configuration';
import type {Fence} from '@lockpin/floor';
import type {
  ControlAction,
  HolderEntry,
  StreamName,
} from './controlMessages.js';
import type {StartPhase} from './startPhase.js';
import {timelineAction} from './timelineAction.js';

/** The streams to read in a phase of the start. */
export function streamsForPhase(phase: StartPhase): readonly StreamName[] {
  switch (phase) {
    case 'asking-peers':
      return [];
    case 'reading-snapshots':
      return ['snapshots'];
    default:
      return ['snapshots', 'configuration', 'holders'];
  }
}

/** The timeline event for a folded record. */
export function foldTimelineAction(fold: FoldResult): ControlAction {
  const {outcome, changeId, author} = fold;
  const {version} = outcome;
  const detail = {version, author, effects: fold.effects.length};
  return timelineAction(`change-${outcome.kind}`, changeId, detail);
}

/** Parses a claim of permits; undefined for any other record. */
export function parseHolder(
  fence: Fence,
  value: unknown,
): HolderEntry | undefined {
  const record = value as Partial<HolderEntry> | null;
  const isHolder =
    typeof record === 'object' &&
    record?.kind === 'holder' &&
    typeof record.service === 'string' &&
    typeof record.box === 'string' &&
    typeof record.incarnation === 'string';
  return isHolder ? ({...record, fence} as HolderEntry) : undefined;
}
