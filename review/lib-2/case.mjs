// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
// Runs a case: writes its record, ends what it started, and sets the exit code:
// 0 if the rule held, 1 if it was broken, 2 if the case could not run.

import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {CannotRun} from './fleet.mjs';

const LIMIT_MILLISECONDS = 110_000;

/** Lines of the record that are printed at the end. */
const LAST_LINES = 60;

/** False with TROUBLE=0: the same events without the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** `play(record, onEnd)` returns whether the rule held. */
export async function runCase(folder, play) {
  const startedAt = Date.now();
  const lines = [];
  const cleanUps = [];
  const record = (line) => {
    const seconds = ((Date.now() - startedAt) / 1000).toFixed(3);
    lines.push(`${seconds.padStart(8)}  ${line}`);
  };
  record(`trouble: ${hasTrouble ? 'yes' : 'no'}`);
  const tooLong = new Promise((_resolve, reject) => {
    setTimeout(
      () => reject(new CannotRun('the case took too long')),
      LIMIT_MILLISECONDS,
    ).unref();
  });
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => process.exit(2));
  }
  process.on('uncaughtException', (error) => {
    record(`could not run: ${error.stack}`);
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.exit(2);
  });
  let code = 2;
  try {
    const held = await Promise.race([
      play(record, (cleanUp) => cleanUps.push(cleanUp)),
      tooLong,
    ]);
    code = held ? 0 : 1;
    record(held ? 'the rule held' : 'the rule was broken');
  } catch (error) {
    record(`could not run: ${error.stack}`);
  }
  await Promise.all(cleanUps.map((cleanUp) => cleanUp()));
  writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
  process.stdout.write(`${lines.slice(-LAST_LINES).join('\n')}\n`, () =>
    process.exit(code),
  );
}
