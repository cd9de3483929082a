// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** HTTP client for the operator API of a node. */

import {errors, request} from 'undici';
import type {AnyResource, ApiFailure, Result, Write} from '@lockpin/types';
import {failure, success} from '@lockpin/utils';
import {WatchProgress} from './watchProgress.js';

/** The address of the API and the operator's token. */
export interface ApiAccess {
  /** IP:port of a node's operator address. */
  readonly address: string;
  /** In the form name.secret. */
  readonly token: string;
}

/** Why a request failed. */
export type ClientFailure =
  ApiFailure | {readonly kind: 'node-unreachable'; readonly address: string};

/** The result of an accepted change. */
export interface AcceptedChange {
  readonly version: number;
  readonly changeId: string;
}

/** Resources as of one configuration version. */
export interface ResourceList {
  readonly version: number;
  readonly items: readonly AnyResource[];
}

const REQUEST_TIMEOUT_MILLISECONDS = 15_000;

/** A watch reconnects after two missed bookmarks; nodes send one every 5 s. */
const WATCH_IDLE_TIMEOUT_MILLISECONDS = 12_000;

/** Sends requests to one node. */
export class ApiClient {
  constructor(
    readonly access: ApiAccess,
    private readonly watchIdleTimeoutMilliseconds = WATCH_IDLE_TIMEOUT_MILLISECONDS,
  ) {}

  list(
    kind: string,
    prefix: string,
  ): Promise<Result<ResourceList, ClientFailure>> {
    const query = new URLSearchParams({kind, prefix});
    return this.get(`/resources?${query}`);
  }

  resource(
    kind: string,
    name: string,
  ): Promise<Result<AnyResource, ClientFailure>> {
    return this.get(`/resources/${kind}/${name}`);
  }

  get<T>(path: string): Promise<Result<T, ClientFailure>> {
    return this.send('GET', path, undefined);
  }

  /** Sends a POST request with an empty JSON object as its body. */
  post<T>(path: string): Promise<Result<T, ClientFailure>> {
    return this.send('POST', path, {});
  }

  change(
    changeId: string,
    writes: readonly Write[],
  ): Promise<Result<AcceptedChange, ClientFailure>> {
    return this.send('POST', '/changes', {changeId, writes});
  }

  /** Yields events until the watch ends; resumes after an idle timeout. */
  async *watch(version: number | undefined): AsyncGenerator<unknown> {
    const progress = new WatchProgress(version);
    for (let isOpen = true; isOpen;) {
      try {
        for await (const event of this.watchOnce(progress.resumeAfter)) {
          if (progress.record(event)) {
            yield event;
          }
        }
        isOpen = false;
      } catch (error) {
        if (!isIdleTimeout(error)) {
          throw error;
        }
      }
    }
  }

  /** Yields the events of a watch over a single connection. */
  private async *watchOnce(
    version: number | undefined,
  ): AsyncGenerator<unknown> {
    const query = version === undefined ? '' : `?version=${version}`;
    const {statusCode, body} = await request(this.url(`/watch${query}`), {
      headers: this.headers(),
      headersTimeout: this.watchIdleTimeoutMilliseconds,
      bodyTimeout: this.watchIdleTimeoutMilliseconds,
    });
    if (statusCode !== 200) {
      yield await body.json();
      return;
    }
    let remainder = '';
    for await (const chunk of body) {
      const lines = (remainder + String(chunk)).split('\n');
      remainder = lines.pop() ?? '';
      yield* lines.map((line) => JSON.parse(line) as unknown);
    }
  }

  private async send<T>(
    method: 'GET' | 'POST',
    path: string,
    content: unknown,
  ): Promise<Result<T, ClientFailure>> {
    try {
      const {statusCode, body} = await request(this.url(path), {
        method,
        headers: {...this.headers(), 'content-type': 'application/json'},
        body: content === undefined ? null : JSON.stringify(content),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
      });
      const answer = await body.json();
      return statusCode < 300
        ? success(answer as T)
        : failure(answer as ApiFailure);
    } catch {
      return failure({
        kind: 'node-unreachable',
        address: this.access.address,
      });
    }
  }

  private url(path: string): string {
    return `http://${this.access.address}${path}`;
  }

  private headers(): Record<string, string> {
    return {authorization: `Bearer ${this.access.token}`};
  }
}

/** Whether a request failed because no data arrived within the timeout. */
function isIdleTimeout(error: unknown): boolean {
  return (
    error instanceof errors.BodyTimeoutError ||
    error instanceof errors.HeadersTimeoutError
  );
}
