// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
// A stand-in for the platform's store: a log of keyed records, as PROTOCOL.md
// describes it. `mode` is 'well', or 'silent', 'busy' or 'reset' while it is down.

import {createServer} from 'node:http';

/** Starts the store at an address; `put` writes as the operator does. */
export async function startStore(host, port) {
  const topics = new Map();
  let mode = 'well';
  const waiters = new Set();
  const records = (topic) => {
    if (!topics.has(topic)) {
      topics.set(topic, []);
    }
    return topics.get(topic);
  };
  const put = (topic, key, value) => {
    records(topic).push({key, value: Buffer.from(value)});
    [...waiters].forEach((wake) => wake());
  };
  const server = createServer((request, response) => {
    void serve(request, response).catch(() => response.destroy());
  });

  async function serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic') ?? '';
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    if (mode === 'silent') {
      return undefined;
    }
    if (mode === 'busy') {
      return response.writeHead(503).end();
    }
    if (mode === 'reset') {
      return request.socket.resetAndDestroy();
    }
    switch (url.pathname) {
      case '/log-append':
        return append(topic, Buffer.concat(chunks), response);
      case '/log-newest':
        return newest(topic, response);
      case '/log-read':
        return read(topic, url.searchParams, response);
      default:
        response.writeHead(404).end();
    }
  }

  function append(topic, bytes, response) {
    let position = 0;
    const offset = records(topic).length;
    while (position < bytes.length) {
      const length = bytes.readUInt32BE(position);
      const record = bytes.subarray(position + 4, position + 4 + length);
      const keyEnd = 1 + record[0];
      put(
        topic,
        record.subarray(1, keyEnd).toString(),
        record.subarray(keyEnd),
      );
      position += 4 + length;
    }
    sendJson(response, {offset, end: records(topic).length});
  }

  function newest(topic, response) {
    const byKey = new Map();
    for (const {key, value} of records(topic)) {
      byKey.set(key, value);
      if (value.length === 0) {
        byKey.delete(key);
      }
    }
    const items = [...byKey].map(([Key, value]) => ({
      Key,
      Value: value.toString('base64'),
      offset: 0,
    }));
    sendJson(response, {items, more: false, end: records(topic).length});
  }

  async function read(topic, query, response) {
    const from = Number(query.get('From'));
    if (records(topic).length <= from) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Number(query.get('WaitMs') ?? 0));
        waiters.add(wake);
      });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(records(topic).length), 0);
    const encoded = records(topic)
      .slice(from)
      .map(({key, value}) => {
        const length = Buffer.alloc(4);
        length.writeUInt32BE(1 + key.length + value.length);
        return Buffer.concat([
          length,
          Buffer.from([key.length]),
          Buffer.from(key),
          value,
        ]);
      });
    response.end(Buffer.concat([header, ...encoded]));
  }

  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    address: `${host}:${port}`,
    put,
    /** The records of a topic, oldest first. */
    dump: (topic) => records(topic),
    setMode: (next) => {
      mode = next;
    },
    stop: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}

function sendJson(response, value) {
  response.writeHead(200, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}
