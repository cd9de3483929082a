// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The order of the requests of one connection. An answer that breaks off after
 * it has begun takes the connection along, with the requests behind it; so these
 * wait until no answer before them can break off.
 */

import type {Socket} from 'node:net';

/** One request, from its arrival until its answer is known whole. */
export interface Turn {
  /** The request became a call; whether its answer may break off. */
  readonly started: (mayBreakOff: boolean) => void;
  /** Its answer has begun and may break off. */
  readonly begun: () => void;
  /** Its answer is whole, or will not come. */
  readonly settled: () => void;
}

/** A turn in the queue of its connection. */
interface QueuedTurn {
  /** `waiting` turns have not been let in. */
  state: 'waiting' | 'arriving' | 'safe' | 'risky';
  readonly letIn: () => void;
}

/** Lets requests in, one after the other. */
export class ConnectionTurns {
  private readonly queues = new WeakMap<Socket, QueuedTurn[]>();

  /**
   * Lets a request in once no answer before it on its connection can break off;
   * at once if nothing is before it.
   */
  enter(socket: Socket, letIn: (turn: Turn) => void): void {
    const queue = this.queues.get(socket) ?? [];
    this.queues.set(socket, queue);
    const change = (state: 'safe' | 'risky'): void => {
      if (queue.includes(queued)) {
        queued.state = state;
        letNextIn(queue);
      }
    };
    const turn: Turn = {
      started: (mayBreakOff) => change(mayBreakOff ? 'risky' : 'safe'),
      begun: () => change('risky'),
      settled: () => {
        const index = queue.indexOf(queued);
        if (index >= 0) {
          queue.splice(index, 1);
          letNextIn(queue);
        }
      },
    };
    const queued: QueuedTurn = {state: 'waiting', letIn: () => letIn(turn)};
    queue.push(queued);
    letNextIn(queue);
  }
}

/** Lets the first waiting turn in if all before it are safe. */
function letNextIn(queue: readonly QueuedTurn[]): void {
  const next = queue.find(({state}) => state !== 'safe');
  if (next?.state === 'waiting') {
    next.state = 'arriving';
    next.letIn();
  }
}
