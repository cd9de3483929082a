// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Whether versions came into force in time, and whether any went back. */

import {isCalm} from './calmSpans.js';
import {broken} from './soakFacts.js';
import type {
  MarkerFact,
  SoakBounds,
  SoakFacts,
  Violation,
} from './soakFacts.js';

/** Broken promises about the configuration. */
export function checkConfiguration(
  facts: SoakFacts,
  bounds: SoakBounds,
): readonly Violation[] {
  return [...checkInForce(facts, bounds), ...checkNeverBack(facts, bounds)];
}

/** An untroubled box knows the newest version soon. */
function checkInForce(
  {markers, versions, troubles}: SoakFacts,
  {applyMilliseconds, contactMilliseconds}: SoakBounds,
): readonly Violation[] {
  return markers
    .filter(({isKnown, version, sentAt, endedAt}) => {
      const own = versions.find((item) => item.version === version);
      const next = versions.find((item) => item.version > version);
      return (
        isKnown === false &&
        own !== undefined &&
        sentAt > own.confirmedAt + applyMilliseconds &&
        (next === undefined || endedAt < next.confirmedAt)
      );
    })
    .filter(({box, sentAt}) =>
      isCalm(
        troubles,
        box,
        sentAt - contactMilliseconds - applyMilliseconds,
        sentAt,
      ),
    )
    .map(({box, version, sentAt}) =>
      broken('versions in force', box, `${version} unknown at ${sentAt}`),
    );
}

/** Within one life of a process, no older version is met after a newer one. */
function checkNeverBack(
  {markers}: SoakFacts,
  {rollbackMilliseconds}: SoakBounds,
): readonly Violation[] {
  const known = markers.filter(({isKnown}) => isKnown === true);
  const isNewer = (marker: MarkerFact, other: MarkerFact): boolean =>
    other.box === marker.box &&
    other.life === marker.life &&
    other.version > marker.version &&
    other.sentAt + rollbackMilliseconds < marker.sentAt;
  return known
    .filter((marker) => known.some((other) => isNewer(marker, other)))
    .map(({box, version, sentAt}) =>
      broken('no version goes back', box, `${version} again at ${sentAt}`),
    );
}
