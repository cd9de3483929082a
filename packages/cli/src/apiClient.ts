// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Talks to the operators' API of a node. */

import {errors, request} from 'undici';
import type {AnyResource, ApiFailure, Result, Write} from '@lockpin/types';
import {failure, success} from '@lockpin/utils';
import {WatchProgress} from './watchProgress.js';

/** Where the API is, and the operator's token. */
export interface ApiAccess {
  /** IP:port of a node's operator address. */
  readonly address: string;
  /** name.secret */
  readonly token: string;
}

/** What a command is told when a request fails. */
export type ClientFailure =
  ApiFailure | {readonly kind: 'node-unreachable'; readonly address: string};

/** What an accepted change came to. */
export interface Accepted {
  readonly version: number;
  readonly changeId: string;
}

/** A list of resources with the version it stands at. */
export interface ResourceList {
  readonly version: number;
  readonly items: readonly AnyResource[];
}

const TIMEOUT_MILLISECONDS = 15_000;

/** A watch reconnects after missing two bookmarks, which nodes send every 5 s. */
const WATCH_IDLE_TIMEOUT_MILLISECONDS = 12_000;

/** Requests that the commands share. */
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

  /** Asks for something that takes no content. */
  post<T>(path: string): Promise<Result<T, ClientFailure>> {
    return this.send('POST', path, {});
  }

  change(
    changeId: string,
    writes: readonly Write[],
  ): Promise<Result<Accepted, ClientFailure>> {
    return this.send('POST', '/changes', {changeId, writes});
  }

  /** Lines of a watch, until it ends; reconnects and resumes on an idle timeout. */
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

  /** Lines of a watch over a single connection. */
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
    let rest = '';
    for await (const chunk of body) {
      const lines = (rest + String(chunk)).split('\n');
      rest = lines.pop() ?? '';
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
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
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
