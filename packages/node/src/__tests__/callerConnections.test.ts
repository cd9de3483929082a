// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Connections of callers that end after an answer. */

import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {describe, expect, it} from 'vitest';
import {CallerConnections} from '../request/callerConnections.js';

function received(connections: CallerConnections, socket: Socket) {
  const request = new IncomingMessage(socket);
  const response = new ServerResponse(request);
  response.shouldKeepAlive = true;
  const isAnswered = connections.received(request, response);
  return {request, response, isAnswered};
}

describe('a connection that is to end after an answer', () => {
  it('ends there if nothing came behind', () => {
    const connections = new CallerConnections();
    const socket = new Socket();
    received(connections, socket);
    const {request, response} = received(connections, socket);
    connections.endAfter(request, response);
    expect(response.shouldKeepAlive).toBe(false);
    expect(received(connections, socket).isAnswered).toBe(false);
    expect(received(connections, new Socket()).isAnswered).toBe(true);
  });

  // Guards against pipelined calls that run, and whose answers are never sent.
  it('stays open for requests behind that may run already', () => {
    const connections = new CallerConnections();
    const socket = new Socket();
    const {request, response} = received(connections, socket);
    received(connections, socket);
    connections.endAfter(request, response);
    expect(response.shouldKeepAlive).toBe(true);
    expect(received(connections, socket).isAnswered).toBe(true);
  });
});
