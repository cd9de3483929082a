// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Checks that configuration versions apply in time and never roll back. */

import {describeStalls} from './describeStalls.js';
import {isUndisrupted} from './isUndisrupted.js';
import {createViolation} from './soakHistory.js';
import type {
  DisruptionRecord,
  VersionProbe,
  SoakBounds,
  SoakHistory,
  Violation,
} from './soakHistory.js';

/** Returns violations of the configuration guarantees. */
export function checkConfiguration(
  history: SoakHistory,
  bounds: SoakBounds,
): readonly Violation[] {
  return [
    ...checkInForce(history, bounds),
    ...checkNoRollback(history, bounds),
  ];
}

/**
 * An undisrupted box must apply the newest version within the limit. Boxes that
 * hear no other box must as well, and soon after the store was silent.
 */
function checkInForce(
  {versionProbes, versions, disruptions, stalls}: SoakHistory,
  {applyMilliseconds, settleMilliseconds}: SoakBounds,
): readonly Violation[] {
  return versionProbes
    .filter(({isKnown, version, sentAt, endedAt}) => {
      const probed = versions.find((item) => item.version === version);
      const next = versions.find((item) => item.version > version);
      return (
        isKnown === false &&
        probed !== undefined &&
        sentAt > probed.confirmedAt + applyMilliseconds &&
        (next === undefined || endedAt < next.confirmedAt)
      );
    })
    .filter(({box, sentAt}) => {
      const isSilence = ({what}: DisruptionRecord) =>
        what === 'silent' || what === 'hung';
      const settledFrom = sentAt - settleMilliseconds;
      return (
        isUndisrupted(disruptions, box, settledFrom, sentAt, isSilence) &&
        isUndisrupted(
          disruptions,
          box,
          settledFrom - applyMilliseconds,
          sentAt,
          (disruption) =>
            !isSilence(disruption) && disruption.what !== 'isolation',
        )
      );
    })
    .map(({box, version, sentAt}) =>
      createViolation(
        'versions in force',
        box,
        `version ${version} not in force at ${sentAt}${describeStalls(stalls, sentAt - settleMilliseconds - applyMilliseconds, sentAt)}`,
      ),
    );
}

/** Within one process, no older version may be observed after a newer one. */
function checkNoRollback(
  {versionProbes}: SoakHistory,
  {rollbackMilliseconds}: SoakBounds,
): readonly Violation[] {
  const known = versionProbes.filter(({isKnown}) => isKnown === true);
  const isNewer = (probe: VersionProbe, other: VersionProbe): boolean =>
    other.box === probe.box &&
    other.life === probe.life &&
    other.version > probe.version &&
    other.sentAt + rollbackMilliseconds < probe.sentAt;
  return known
    .filter((probe) => known.some((other) => isNewer(probe, other)))
    .map(({box, version, sentAt}) =>
      createViolation(
        'no version rollback',
        box,
        `version ${version} observed again at ${sentAt}`,
      ),
    );
}
