// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which connections a server closes when too many are open. */

import {Socket} from 'node:net';
import {describe, expect, it} from 'vitest';
import {BoundedConnections} from '../connection/boundedConnections.js';
import type {ClosedConnections} from '../connection/boundedConnections.js';
import {connectionBounds} from '../connection/connectionBounds.js';

function openThree(afterReading = (done: () => void): void => done()) {
  const reports: ClosedConnections[] = [];
  const time = {now: 0};
  const connections = new BoundedConnections({
    maximum: 3,
    onFull: (closed) => reports.push(closed),
    clock: () => time.now,
    afterReading,
  });
  const sockets = [new Socket(), new Socket(), new Socket()];
  sockets.forEach((socket) => connections.opened(socket));
  const open = (): Socket => {
    const socket = new Socket();
    connections.opened(socket);
    return socket;
  };
  const closed = (): readonly boolean[] =>
    sockets.map(({destroyed}) => destroyed);
  return {connections, sockets, reports, time, open, closed};
}

describe('a server with as many connections as may be open', () => {
  it('closes the one that has been idle the longest for a new one', () => {
    const {connections, sockets, open, closed} = openThree();
    const [first] = sockets as [Socket, Socket, Socket];
    connections.used(first);
    connections.unused(first);
    expect(open().destroyed).toBe(false);
    expect(closed()).toEqual([false, true, false]);
  });

  it('closes no connection whose request may not have been read', () => {
    const unread: (() => void)[] = [];
    const {connections, sockets, open, closed} = openThree((done) =>
      unread.push(done),
    );
    const [first] = sockets as [Socket, Socket, Socket];
    expect(open().destroyed).toBe(true);
    connections.used(first);
    unread.forEach((done) => done());
    expect(open().destroyed).toBe(false);
    expect(closed()).toEqual([false, true, false]);
  });

  it('closes no connection that was used before it counted as read', () => {
    const unread: (() => void)[] = [];
    const {connections, sockets, open, closed} = openThree((done) =>
      unread.push(done),
    );
    sockets.forEach((socket) => connections.used(socket));
    unread.forEach((done) => done());
    expect(open().destroyed).toBe(true);
    expect(closed()).toEqual([false, false, false]);
  });

  it('closes no connection that is in use', () => {
    const {connections, sockets, open, closed} = openThree();
    sockets.forEach((socket) => connections.used(socket));
    expect(open().destroyed).toBe(true);
    expect(closed()).toEqual([false, false, false]);
  });

  it('has room again once a connection has closed', async () => {
    const {connections, sockets, open, closed} = openThree();
    const [first] = sockets as [Socket, Socket, Socket];
    sockets.forEach((socket) => connections.used(socket));
    await new Promise((resolve) => first.once('close', resolve).destroy());
    expect(open().destroyed).toBe(false);
    expect(closed()).toEqual([true, false, false]);
  });

  it('keeps used connections in half of the room while others come', () => {
    const {connections, sockets, open, closed} = openThree();
    const [first, second] = sockets as [Socket, Socket, Socket];
    connections.used(first);
    connections.unused(first);
    const others = [open(), open(), open()];
    expect(closed()).toEqual([false, true, true]);
    expect(others.map(({destroyed}) => destroyed)).toEqual([
      true,
      false,
      false,
    ]);
    expect(second.destroyed).toBe(true);
  });

  it('closes used connections first while they have more than half', () => {
    const {connections, sockets, open, closed} = openThree();
    const [first, second] = sockets as [Socket, Socket, Socket];
    [first, second].forEach((socket) => {
      connections.used(socket);
      connections.unused(socket);
    });
    expect(open().destroyed).toBe(false);
    expect(closed()).toEqual([true, false, false]);
  });

  it('reports closed connections at once, then once a second', () => {
    const {connections, sockets, open, reports, time} = openThree();
    open();
    open();
    sockets.forEach((socket) => connections.used(socket));
    open();
    expect(reports).toEqual([{idle: 1, refused: 0}]);
    time.now = 1000;
    open();
    expect(reports.slice(1)).toEqual([{idle: 3, refused: 0}]);
  });
});

describe('the bounds of a process', () => {
  it.each([400, 1024, 4100, 8192])(
    'leave some of %i descriptors for upstreams, the store and files',
    (descriptors) => {
      const {callers, peers, local} = connectionBounds(descriptors);
      const bounded = callers + 2 * peers + 3 * local;
      expect(descriptors - bounded).toBeGreaterThanOrEqual(200);
    },
  );
});
