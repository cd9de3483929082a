// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Answers that callers do not take, at their entry. */

import {once} from 'node:events';
import {createServer, get} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {AnswerMemory} from '../request/answerMemory.js';
import {CallerExchange} from '../request/callerExchange.js';
import {UnsentAnswers} from '../request/unsentAnswers.js';

/** More than a connection holds outside the process. */
const ANSWER_BYTES = 12_000_000;

const CALL = {requestId: 'id', customer: 'c'};

let server: Server;
let responses: ServerResponse[];

beforeEach(async () => {
  responses = [];
  server = createServer((_request, response) => responses.push(response));
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', done));
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** Opens a call whose caller does not read; `answer` sends to it. */
async function openCall(): Promise<{
  readonly response: ServerResponse;
  readonly answer: Promise<IncomingMessage>;
}> {
  const {port} = server.address() as AddressInfo;
  const count = responses.length;
  const answer = new Promise<IncomingMessage>((resolve, reject) => {
    get({port, host: '127.0.0.1', agent: false}, resolve).on('error', reject);
  });
  await until(() => responses.length > count);
  return {response: responses[count] as ServerResponse, answer};
}

/** Reads to the end; rejects if the answer does not look complete. */
async function bytesOf(answer: Promise<IncomingMessage>): Promise<number> {
  let bytes = 0;
  for await (const chunk of (await answer) as AsyncIterable<Buffer>) {
    bytes += chunk.length;
  }
  return bytes;
}

describe('a whole answer that its caller does not take', () => {
  it('is counted until the caller has taken it', async () => {
    const memory = new AnswerMemory({total: 2 * ANSWER_BYTES, call: 1});
    const unsent = new UnsentAnswers(memory);
    const {response, answer} = await openCall();
    response.end(Buffer.alloc(ANSWER_BYTES));
    unsent.written(response, CALL);
    expect(memory.used).toBeGreaterThan(0);
    expect(await bytesOf(answer)).toBe(ANSWER_BYTES);
    await until(() => memory.used === 0);
  });

  it('is reset when the caller stalls', async () => {
    const memory = new AnswerMemory({total: 2 * ANSWER_BYTES, call: 1});
    const reasons: string[] = [];
    const unsent = new UnsentAnswers(memory, (_call, reason) =>
      reasons.push(reason),
    );
    const {response, answer} = await openCall();
    response.end(Buffer.alloc(ANSWER_BYTES));
    unsent.written(response, CALL);
    response.socket?.emit('timeout');
    expect(reasons).toEqual(['reader-stalled']);
    await expect(bytesOf(answer)).rejects.toThrow();
    await until(() => memory.used === 0);
  });
});

it('cuts off the call that has waited longest when memory is exhausted', async () => {
  const memory = new AnswerMemory({total: ANSWER_BYTES, call: 1});
  const unsent = new UnsentAnswers(memory);
  const first = await openCall();
  const second = await openCall();
  for (const {response} of [first, second]) {
    response.writeHead(200, {'content-length': ANSWER_BYTES});
    response.write(Buffer.alloc(ANSWER_BYTES));
    unsent.written(response, CALL);
  }
  await expect(bytesOf(first.answer)).rejects.toThrow();
  expect(await bytesOf(second.answer)).toBe(ANSWER_BYTES);
});

// On a plain connection, since the HTTP client of Node.js takes a reset for the
// end of an answer without a length.
it('never makes an interrupted answer without a length look complete', async () => {
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const end = new Promise<string>((resolve) => {
    socket.on('error', ({message}) => resolve(message));
    socket.on('end', () => resolve('end'));
  });
  socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
  await until(() => responses.length === 1);
  const [response] = responses;
  const exchange = new CallerExchange(
    'id',
    {response, call: {}, body: {kind: 'held'}} as never,
    '',
    {answerHeaders: () => ['connection', 'close']} as never,
  );
  exchange.sendHead({
    status: 200,
    headers: [],
    upstream: '',
    hint: undefined,
    isUnframed: true,
    ranMilliseconds: undefined,
    body: undefined,
    hasMore: true,
  });
  exchange.sendChunk(Buffer.alloc(1000));
  await once(socket, 'data');
  exchange.destroyResponse();
  expect(await end).toContain('ECONNRESET');
});
