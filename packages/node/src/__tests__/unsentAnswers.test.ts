// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Answers that callers do not take, at their entry. */

import {once} from 'node:events';
import {createServer, get} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {AnswerMemory} from '../request/answerMemory.js';
import {CallerAnswer} from '../request/callerAnswer.js';
import {CloseDelimitedAnswers} from '../request/closeDelimitedAnswers.js';
import type {AnswerHead} from '../request/frames.js';
import {FinishingAnswers} from '../request/finishingAnswers.js';
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

  it.each([
    [
      'has taken it',
      async (answer: Promise<IncomingMessage>) => bytesOf(answer),
    ],
    [
      'disconnects',
      async (answer: Promise<IncomingMessage>) => (await answer).destroy(),
    ],
  ])(
    'keeps its process from stopping until the caller %s',
    async (_name, end) => {
      const finishing = new FinishingAnswers();
      const {response, answer} = await openCall();
      response.end(Buffer.alloc(ANSWER_BYTES));
      finishing.ended(response);
      expect(finishing.callCount).toBe(1);
      await end(answer);
      await until(() => finishing.callCount === 0);
    },
  );

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
describe.each(['HTTP/1.1', 'HTTP/1.0'])('a caller of %s', (version) => {
  let socket: Socket;
  let received: string;
  let end: Promise<string>;
  let answer: CallerAnswer;
  let closeDelimited: CloseDelimitedAnswers;

  async function connectCaller(method = 'GET'): Promise<void> {
    socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    received = '';
    socket.on('data', (bytes) => (received += bytes.toString('latin1')));
    end = new Promise<string>((resolve) => {
      socket.on('error', ({message}) => resolve(message));
      socket.on('end', () => resolve('end'));
    });
    socket.write(`${method} / ${version}\r\nhost: x\r\n\r\n`);
    await until(() => responses.length === 1);
    const [response] = responses;
    closeDelimited = new CloseDelimitedAnswers();
    answer = new CallerAnswer({
      response: response as ServerResponse,
      method,
      protocol: {
        answerHeaders: ({headers}: AnswerHead) => [
          ...headers,
          'connection',
          'close',
        ],
      } as never,
      onCloseDelimited: (added) => closeDelimited.add(added),
      onHead: () => undefined,
      onEnded: () => undefined,
    });
  }

  function sendHead(head: Partial<AnswerHead>): void {
    answer.sendHead({
      status: 200,
      headers: [],
      upstream: '',
      hint: undefined,
      ranMilliseconds: undefined,
      body: undefined,
      hasMore: false,
      ...head,
    });
  }

  it('sees that an answer without a length was interrupted', async () => {
    await connectCaller();
    sendHead({hasMore: true});
    answer.sendChunk(Buffer.alloc(1000));
    await once(socket, 'data');
    answer.destroy();
    if (version === 'HTTP/1.0') {
      expect(await end).toContain('ECONNRESET');
    } else {
      await end;
      expect(received).toContain('Transfer-Encoding: chunked');
      expect(received).not.toMatch(/\r\n0\r\n/);
    }
  });

  it('gets an answer without a length as it arrives', async () => {
    await connectCaller();
    sendHead({hasMore: true});
    answer.sendChunk(Buffer.from('first'));
    await until(() => received.includes('first'));
    answer.sendChunk(Buffer.from('last'));
    answer.sendEnd();
    expect(await end).toBe('end');
    expect(received).toContain('last');
    expect(received.endsWith('\r\n0\r\n\r\n')).toBe(version === 'HTTP/1.1');
  });

  it('gets the length of an answer that is known whole', async () => {
    await connectCaller();
    sendHead({body: Buffer.from('whole')});
    await end;
    expect(received).toMatch(/content-length: 5\r\n/);
    expect(received.endsWith('\r\n\r\nwhole')).toBe(true);
  });

  it.each([
    ['HEAD', 200],
    ['GET', 204],
    ['GET', 304],
  ])(
    'gets no length of an answer to %s with status %i',
    async (method, status) => {
      await connectCaller(method);
      sendHead({status});
      await end;
      expect(received).not.toMatch(/content-length/i);
    },
  );

  it('sees that an answer was interrupted by the exit of the process', async () => {
    await connectCaller();
    sendHead({hasMore: true});
    answer.sendChunk(Buffer.alloc(ANSWER_BYTES));
    await once(socket, 'data');
    closeDelimited.reset();
    socket.resume();
    answer.destroy();
    expect(await end).toContain(version === 'HTTP/1.0' ? 'ECONNRESET' : 'end');
    expect(received).not.toMatch(/\r\n0\r\n/);
  });
});
