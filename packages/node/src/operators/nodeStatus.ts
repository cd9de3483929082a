// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The status that a node reports of itself and of its members. */

import type {NodeHost} from '../process/nodeHost.js';
import type {ControlTraffic} from '../process/controlTraffic.js';
import {isFleetWide} from './access.js';
import type {Operator} from './access.js';

/** Returns the parts of a node's status that an operator may read. */
export function nodeStatus(
  host: NodeHost,
  traffic: ControlTraffic,
  operator: Operator,
): unknown {
  const {control, guard} = host;
  const {state} = control.replica;
  const isVisible = (name: string): boolean =>
    isFleetWide(operator) || name.startsWith(`${operator.scope}/`);
  const upstreams = guard
    .standings(Date.now())
    .filter(({upstream}) => isVisible(upstream));
  const {box, dataCentre, incarnation} = control.membership.own;
  const members = isFleetWide(operator)
    ? control.membership.all().map((member) => ({
        ...member,
        versionInForce: control.news.versionsInForce.get(member.box) ?? 0,
      }))
    : [];
  return {
    box,
    dataCentre,
    incarnation,
    isLeaving: host.isLeaving,
    version: state.version,
    digest: state.digest,
    logEra: control.replica.era ?? 0,
    logRestores: control.restores.restoreCount,
    isFoldingAnew: control.restores.isPending,
    callsAtEntry: host.entry.callCount,
    callsAtGuard: guard.callCount,
    process: processStatus(traffic),
    upstreams,
    members,
  };
}

/** Resource usage of the process. */
function processStatus(traffic: ControlTraffic): unknown {
  const {user, system} = process.cpuUsage();
  const {rss, heapUsed} = process.memoryUsage();
  return {
    pid: process.pid,
    cpuMicroseconds: user + system,
    residentBytes: rss,
    heapBytes: heapUsed,
    controlTraffic: traffic.counts,
  };
}
