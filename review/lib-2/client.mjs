// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
// A client on plain sockets, as PROTOCOL.md describes clients.

import {connect} from 'node:net';

/** Opens a connection to the Outbound address of a machine. */
export async function openConnection({outbound}) {
  const socket = connect(outbound);
  socket.setNoDelay();
  let buffered = Buffer.alloc(0);
  let isClosed = false;
  let error;
  const waiting = new Set();
  const wake = () => waiting.forEach((look) => look());
  socket.on('data', (bytes) => {
    buffered = Buffer.concat([buffered, bytes]);
    wake();
  });
  socket.on('error', (problem) => {
    error = problem.code;
  });
  socket.on('close', () => {
    isClosed = true;
    wake();
  });
  await new Promise((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
  });
  return {
    socket,
    write: (bytes) => socket.write(bytes),
    close: () => socket.destroy(),
    /** The next answer; {kind: 'answer' | 'closed' | 'none'}. */
    answer: (milliseconds) =>
      new Promise((resolve) => {
        const finish = (result) => {
          clearTimeout(timer);
          waiting.delete(look);
          resolve(result);
        };
        const look = () => {
          const parsed = parseAnswer(buffered);
          if (parsed !== undefined) {
            buffered = parsed.rest;
            finish({kind: 'answer', ...parsed.answer});
          } else if (isClosed) {
            finish({kind: 'closed', error, bytes: buffered.length});
          }
        };
        const timer = setTimeout(() => finish({kind: 'none'}), milliseconds);
        waiting.add(look);
        look();
      }),
  };
}

/** The head of a request. */
export function head(method, path, host, id, deadline, headers = {}) {
  return `${method} ${path} HTTP/1.1\r\n${Object.entries({
    Host: host,
    'Attempt-Id': id,
    'Deadline-Ms': deadline,
    ...headers,
  })
    .map(([name, value]) => `${name}: ${value}\r\n`)
    .join('')}\r\n`;
}

/** One chunk of a body that has no length. */
export function chunk(bytes) {
  return Buffer.concat([
    Buffer.from(`${bytes.length.toString(16)}\r\n`),
    bytes,
    Buffer.from('\r\n'),
  ]);
}

export const LAST_CHUNK = '0\r\n\r\n';

function parseAnswer(bytes) {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) {
    return undefined;
  }
  const [first, ...lines] = bytes
    .subarray(0, end)
    .toString('latin1')
    .split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const status = Number(first.split(' ')[1]);
  if (headers['transfer-encoding'] !== undefined) {
    const whole = parseChunks(bytes.subarray(end + 4));
    return (
      whole && {answer: {status, headers, body: whole.body}, rest: whole.rest}
    );
  }
  const length = Number(headers['content-length'] ?? 0);
  if (bytes.length < end + 4 + length) {
    return undefined;
  }
  const body = bytes.subarray(end + 4, end + 4 + length).toString();
  return {
    answer: {status, headers, body},
    rest: bytes.subarray(end + 4 + length),
  };
}

/** A body in chunks; undefined until all of it is in. */
function parseChunks(bytes) {
  const chunks = [];
  let rest = bytes;
  for (;;) {
    const end = rest.indexOf('\r\n');
    const length = Number.parseInt(rest.subarray(0, end).toString(), 16);
    if (end < 0 || rest.length < end + 2 + length + 2) {
      return undefined;
    }
    chunks.push(rest.subarray(end + 2, end + 2 + length));
    rest = rest.subarray(end + 2 + length + 2);
    if (length === 0) {
      return {body: Buffer.concat(chunks).toString(), rest};
    }
  }
}
