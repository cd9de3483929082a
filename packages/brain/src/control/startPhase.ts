// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Determines what a starting node still needs before it can serve. */

/** Progress of a starting node. */
export interface StartProgress {
  readonly now: number;
  readonly startedAt: number;
  readonly peersAnswered: number;
  readonly peersRequired: number;
  readonly isTransferring: boolean;
  readonly snapshotsRead: boolean;
  readonly snapshotReadFailures: number;
  readonly logReadToTail: boolean;
  readonly logReadFailures: number;
  readonly version: number;
}

/** The phases of a start, in order. */
export type StartPhase =
  'asking-peers' | 'reading-snapshots' | 'reading-log' | 'ready';

const PEER_TIMEOUT_MILLISECONDS = 1500;

/** Consecutive failed reads after which the log counts as unreachable. */
const FAILURES_UNTIL_UNREACHABLE = 2;

/**
 * A node serves once it has read the log to its end. While the log is
 * unreachable, it serves once it has the newest version known to its peers.
 */
export function startPhase(progress: StartProgress): StartPhase {
  if (progress.logReadToTail) {
    return 'ready';
  }
  if (isWaitingForPeers(progress)) {
    return 'asking-peers';
  }
  const snapshotsDone =
    progress.snapshotsRead ||
    progress.snapshotReadFailures >= FAILURES_UNTIL_UNREACHABLE;
  if (progress.version === 0 && !snapshotsDone) {
    return 'reading-snapshots';
  }
  const isLogUnreachable =
    progress.logReadFailures >= FAILURES_UNTIL_UNREACHABLE;
  return isLogUnreachable && progress.peersAnswered > 0 && progress.version > 0
    ? 'ready'
    : 'reading-log';
}

function isWaitingForPeers(progress: StartProgress): boolean {
  const waited = progress.now - progress.startedAt;
  return (
    progress.isTransferring ||
    (progress.peersAnswered < progress.peersRequired &&
      waited < PEER_TIMEOUT_MILLISECONDS)
  );
}
