// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Detection of a handler for SIGHUP in another process. */

import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {afterEach, describe, expect, it} from 'vitest';
import {catchesHangup} from '../catchesHangup.js';

let child: ChildProcess | undefined;

afterEach(() => child?.kill('SIGKILL'));

/** Starts a program and waits for its first line. */
async function run(program: string): Promise<number> {
  child = spawn(process.execPath, [
    '-e',
    `${program}; console.log('running'); setInterval(() => undefined, 1000);`,
  ]);
  await once(child.stdout as NodeJS.ReadableStream, 'data');
  return child.pid ?? 0;
}

describe('a process', () => {
  it('catches SIGHUP once it has a handler', async () => {
    const pid = await run(`process.on('SIGHUP', () => undefined)`);
    expect(catchesHangup(pid)).toBe(true);
  });

  it('does not catch SIGHUP before, or after it has ended', async () => {
    const pid = await run('');
    expect(catchesHangup(pid)).toBe(false);
    const exit = once(child as ChildProcess, 'exit');
    child?.kill('SIGHUP');
    expect(await exit).toEqual([null, 'SIGHUP']);
    expect(catchesHangup(pid)).toBe(false);
  });
});
