// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
// A stand-in for an application target, on plain sockets, so that a case says
// byte by byte what the target reads and sends.

import {createServer} from 'node:net';
import {announce} from './fleet.mjs';

const HEARTBEAT_MILLISECONDS = 1500;

/**
 * Starts a target on a machine. `onHead(request, connection)` is called as soon
 * as the head of a request is in; `onRequest` once the whole body is. Both get
 * {id, method, path, headers, body}; `connection.answer(...)` answers.
 */
export async function startTarget(machine, options) {
  const {service, id, slots = 4, onHead, onRequest, record} = options;
  const sockets = new Set();
  let sequence = 0;
  let timer;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    serveConnection(socket);
  });

  function serveConnection(socket) {
    let buffered = Buffer.alloc(0);
    let current;
    const connection = {
      socket,
      answer: (request, status, body, headers = {}) => {
        const lines = {
          'Attempt-Id': request.id,
          'Content-Length': Buffer.byteLength(body),
          ...(status < 400 ? {'Response-Seal': `seal.${request.id}`} : {}),
          ...headers,
        };
        socket.write(
          Buffer.concat([
            Buffer.from(
              `HTTP/1.1 ${status} Answer\r\n${Object.entries(lines)
                .map(([name, value]) => `${name}: ${value}\r\n`)
                .join('')}\r\n`,
              'utf8',
            ),
            Buffer.from(body),
          ]),
        );
      },
    };
    socket.on('data', (bytes) => {
      buffered = Buffer.concat([buffered, bytes]);
      for (;;) {
        if (current === undefined) {
          const end = buffered.indexOf('\r\n\r\n');
          if (end < 0) {
            return;
          }
          current = parseHead(buffered.subarray(0, end).toString('latin1'));
          buffered = buffered.subarray(end + 4);
          onHead?.(current, connection);
        }
        const taken = takeBody(current, buffered);
        buffered = taken.rest;
        if (!taken.isWhole) {
          return;
        }
        const request = current;
        current = undefined;
        if (request.isDiscarded !== true) {
          onRequest(request, connection);
        }
      }
    });
  }

  async function say(state) {
    sequence += 1;
    return announce(machine, 'heartbeat', id, {
      Service: service,
      Address: `${machine.app.host}:${machine.app.port}`,
      Zone: machine.zone,
      Version: 'v1',
      Slots: slots,
      State: state,
      ColdRemaining: '0ms',
      CallSeq: sequence,
    });
  }

  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(machine.app.port, machine.app.host, resolve);
  });
  return {
    id,
    say,
    /** Checks in now and about every Heartbeat. */
    checkIn: async () => {
      const limit = Date.now() + 10_000;
      while (!(await say('ready')) && Date.now() < limit) {
        await new Promise((resolve) => setTimeout(resolve, 100));
      }
      timer = setInterval(() => void say('ready'), HEARTBEAT_MILLISECONDS);
    },
    leave: () => announce(machine, 'leave', id),
    /** Ends as a process does that crashes. */
    crash: async () => {
      clearInterval(timer);
      record?.(`target ${id} on ${machine.name} crashes`);
      sockets.forEach((socket) => socket.resetAndDestroy());
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

function parseHead(text) {
  const [first, ...lines] = text.split('\r\n');
  const [method, path] = first.split(' ');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return {
    id: headers['attempt-id'],
    method,
    path,
    headers,
    body: Buffer.alloc(0),
  };
}

/** Moves the bytes of a body from the connection into the request. */
function takeBody(request, bytes) {
  const {headers} = request;
  if (headers['transfer-encoding'] === undefined) {
    const missing =
      Number(headers['content-length'] ?? 0) - request.body.length;
    request.body = Buffer.concat([request.body, bytes.subarray(0, missing)]);
    return {rest: bytes.subarray(missing), isWhole: bytes.length >= missing};
  }
  let rest = bytes;
  for (;;) {
    const end = rest.indexOf('\r\n');
    if (end < 0) {
      return {rest, isWhole: false};
    }
    const length = Number.parseInt(rest.subarray(0, end).toString(), 16);
    if (rest.length < end + 2 + length + 2) {
      return {rest, isWhole: false};
    }
    const chunk = rest.subarray(end + 2, end + 2 + length);
    rest = rest.subarray(end + 2 + length + 2);
    if (length === 0) {
      return {rest, isWhole: true};
    }
    request.body = Buffer.concat([request.body, chunk]);
  }
}
