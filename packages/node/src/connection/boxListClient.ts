// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** HTTP client of the platform's list of live and leaving boxes. */

import type {ListedBox} from '@lockpin/brain';
import {Pool} from 'undici';
import type {ControlTraffic} from '../process/controlTraffic.js';

const TIMEOUT_MILLISECONDS = 3000;

/** Thousands of boxes take less than a megabyte. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** Reads the list; the result is undefined if the platform does not answer. */
export class BoxListClient {
  private readonly pool: Pool;

  constructor(
    address: string,
    private readonly traffic: ControlTraffic,
  ) {
    this.pool = new Pool(`http://${address}`, {
      connections: 1,
      maxResponseSize: MAXIMUM_ANSWER_BYTES,
    });
  }

  async read(): Promise<readonly ListedBox[] | undefined> {
    try {
      const {statusCode, body} = await this.pool.request({
        method: 'GET',
        path: '/boxes',
        signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
      });
      const text = await body.text();
      this.traffic.received('boxList', text.length);
      const response = JSON.parse(text) as {
        readonly boxes: readonly ListedBox[];
      };
      return statusCode === 200 ? response.boxes : undefined;
    } catch {
      return undefined;
    }
  }

  async close(): Promise<void> {
    await this.pool.destroy();
  }
}
