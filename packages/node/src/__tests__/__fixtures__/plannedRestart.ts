// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Restarts nodes of a call simulation as a platform does for planned work. */

import type {PlannedStop} from '@lockpin/brain';
import type {FleetCallSimulation, SimulatedBox} from './fleetCallSimulation.js';

/** Delay from the stop of a node until its guard leaves. */
const LEAVE_DELAY_MILLISECONDS = 100;

/** Time after which the callers of a stopping node use others. */
const CALLERS_GONE_MILLISECONDS = 2500;

/** Limit of a stop; calls that are still running then are lost. */
const STOP_LIMIT_MILLISECONDS = 5400;

/** Time for which a node is down between its stop and its next start. */
const DOWN_MILLISECONDS = 600;

/** Interval between checks whether the calls of a node have ended. */
const CHECK_MILLISECONDS = 50;

/** Stops the node of a box without interrupting calls, and starts it again. */
export function restartAsPlanned(
  simulation: FleetCallSimulation,
  box: number,
): void {
  const {now} = simulation;
  const state = simulation.boxes[box] as SimulatedBox;
  const stop: PlannedStop = {
    callersGoneAt: now + CALLERS_GONE_MILLISECONDS,
    endsAt: now + STOP_LIMIT_MILLISECONDS,
  };
  state.entry.handle(now, () => 0, {kind: 'stopping', stop});
  simulation.after(LEAVE_DELAY_MILLISECONDS, () =>
    simulation.toGuard(box, {kind: 'leaving', stop}),
  );
  simulation.after(CALLERS_GONE_MILLISECONDS, () => {
    state.hasCallers = false;
    endOnceIdle(simulation, box, stop.endsAt);
  });
}

function endOnceIdle(
  simulation: FleetCallSimulation,
  box: number,
  endsAt: number,
): void {
  const state = simulation.boxes[box] as SimulatedBox;
  const isIdle = state.guard.callCount + state.entry.callCount === 0;
  if (!isIdle && simulation.now < endsAt) {
    simulation.after(CHECK_MILLISECONDS, () =>
      endOnceIdle(simulation, box, endsAt),
    );
    return;
  }
  simulation.cutOff(box, DOWN_MILLISECONDS);
  simulation.after(DOWN_MILLISECONDS, () => {
    simulation.restart(box);
    state.hasCallers = true;
  });
}
