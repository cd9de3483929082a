// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Whether a process listens at an address. */

import {connect} from 'node:net';
import type {Presence} from '@lockpin/quarantine';
import {parseAddress} from '@lockpin/utils';

/** On its own box an address answers within a turn of the loop, or stands still. */
const LOOK_MILLISECONDS = 200;

/** What a refused connection is called; any other failure says less. */
const REFUSED = 'ECONNREFUSED';

/** Connects, and closes the connection at once. */
export function lookAtAddress(
  address: string,
  done: (presence: Presence) => void,
): void {
  const parsed = parseAddress(address);
  if (parsed === undefined) {
    done('unknown');
    return;
  }
  const socket = connect(parsed);
  const timer = setTimeout(() => end('unknown'), LOOK_MILLISECONDS);
  function end(presence: Presence): void {
    clearTimeout(timer);
    socket.removeAllListeners();
    // An error that comes after the end tells nothing more.
    socket.on('error', () => undefined);
    socket.destroy();
    done(presence);
  }
  socket.once('connect', () => end('there'));
  socket.once('error', (error: NodeJS.ErrnoException) =>
    end(error.code === REFUSED ? 'gone' : 'unknown'),
  );
}
