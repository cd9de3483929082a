// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Checks whether a process listens on an address. */

import {connect} from 'node:net';
import type {AddressState} from '@lockpin/quarantine';
import {parseAddress} from '@lockpin/utils';

/**
 * A process on the same box accepts or refuses a connection within one event
 * loop iteration, unless it hangs.
 */
const CHECK_TIMEOUT_MILLISECONDS = 200;

/**
 * Error code of a refused connection; other errors do not show whether it
 * listens.
 */
const REFUSED = 'ECONNREFUSED';

/** Opens a connection and closes it immediately. */
export function checkAddress(
  address: string,
  done: (state: AddressState) => void,
): void {
  const parsed = parseAddress(address);
  if (parsed === undefined) {
    done('unknown');
    return;
  }
  const socket = connect(parsed);
  const timer = setTimeout(() => finish('unknown'), CHECK_TIMEOUT_MILLISECONDS);
  function finish(state: AddressState): void {
    clearTimeout(timer);
    socket.removeAllListeners();
    // Errors after the result are ignored.
    socket.on('error', () => undefined);
    socket.destroy();
    done(state);
  }
  socket.once('connect', () => finish('listening'));
  socket.once('error', (error: NodeJS.ErrnoException) =>
    finish(error.code === REFUSED ? 'gone' : 'unknown'),
  );
}
