// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which parts of a request change its digest. */

import type {IncomingMessage} from 'node:http';
import {describe, expect, it} from 'vitest';
import type {ArrivedRequest} from '../request/callerExchange.js';
import type {CallerRequest} from '../request/callerRequest.js';
import {computeRequestDigest} from '../request/entryCall.js';

interface Sent {
  readonly method?: string;
  readonly host?: string;
  readonly path?: string;
  readonly caller?: string;
  readonly body?: ArrivedRequest['body'];
  readonly length?: string;
}

function held(text: string): ArrivedRequest['body'] {
  return {kind: 'held', bytes: Buffer.from(text)};
}

function streamed(beginning: string | undefined): ArrivedRequest['body'] {
  return {
    kind: 'streamed',
    beginning: beginning === undefined ? undefined : Buffer.from(beginning),
  };
}

function digest(sent: Sent): string {
  const {method = 'POST', host = 'shop.example', length = '7'} = sent;
  const {body = held('claim 7')} = sent;
  const call = {
    view: {name: 'shop'},
    caller: sent.caller ?? 'shop',
    path: sent.path ?? '/claims',
  };
  return computeRequestDigest(
    {method, headers: {host, 'content-length': length}} as IncomingMessage,
    call as unknown as CallerRequest,
    body,
  );
}

describe('the digest of a request', () => {
  it('is the same for a repeated request', () => {
    expect(digest({})).toBe(digest({}));
    expect(digest({})).toHaveLength(16);
  });

  it('differs by all parts that an upstream sees, and by caller', () => {
    const others: readonly Sent[] = [
      {method: 'PUT'},
      {host: 'other.example'},
      {path: '/claims?page=2'},
      {body: held('claim 8')},
      {body: streamed('claim 7')},
      {body: streamed('claim 8')},
      {body: streamed('claim 8'), length: '99999'},
      {caller: 'other'},
    ];
    const digests = [{}, ...others].map(digest);
    expect(new Set(digests).size).toBe(digests.length);
  });

  it('is empty for a streamed body whose beginning did not arrive in time', () => {
    expect(digest({body: streamed(undefined)})).toBe('');
  });
});
