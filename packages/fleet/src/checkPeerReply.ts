// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Checks the form of replies of peers, which may be of another release. */

import type {PeerQueryReply} from './fleetMessages.js';

/**
 * Returns a decoded reply, or undefined if it is none. Box records are validated
 * where they are used.
 */
export function checkPeerReply(reply: unknown): PeerQueryReply | undefined {
  const {boxes, configuration} = (reply ?? {}) as Partial<PeerQueryReply>;
  const areBoxes =
    Array.isArray(boxes) &&
    boxes.every((record) => typeof record === 'object' && record !== null);
  const isConfiguration =
    configuration === undefined ||
    (Number.isFinite(configuration?.version) &&
      [
        configuration.routes,
        configuration.services,
        configuration.customers,
      ].every(Array.isArray));
  return areBoxes && isConfiguration ? (reply as PeerQueryReply) : undefined;
}
