// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Settings from flags and the environment. */

import {afterEach, describe, expect, it} from 'vitest';
import {readSettings} from '../settings/readSettings.js';

const REQUIRED = [
  '--box=box-1',
  '--data-centre=one',
  '--caller-address=127.0.0.1:7000',
  '--operator-address=127.0.0.1:7100',
  '--peer-address=127.0.0.1:7200',
  '--log-address=127.0.0.1:9000',
  '--box-list-address=127.0.0.1:9001',
];

afterEach(() => {
  delete process.env['LOCKPIN_BOX'];
  delete process.env['LOCKPIN_STOP_LIMIT_MILLISECONDS'];
  delete process.env['LOCKPIN_TOKEN'];
});

describe('readSettings', () => {
  it('applies defaults to optional settings', async () => {
    const {settings, isCheck} = await readSettings(REQUIRED);
    expect(isCheck).toBe(false);
    expect(settings).toMatchObject({
      ok: true,
      value: {box: 'box-1', logLevel: 'info', stopLimitMilliseconds: 30_000},
    });
  });

  it('reads the environment, which flags override', async () => {
    process.env['LOCKPIN_BOX'] = 'from-environment';
    const without = REQUIRED.filter((flag) => !flag.startsWith('--box='));
    expect((await readSettings(without)).settings).toMatchObject({
      value: {box: 'from-environment'},
    });
    expect((await readSettings(REQUIRED)).settings).toMatchObject({
      value: {box: 'box-1'},
    });
  });

  it('ignores variables of the command line and of other programs', async () => {
    process.env['LOCKPIN_TOKEN'] = 'name.secret';
    process.env['LOCKPIN_STOP_LIMIT_MILLISECONDS'] = '5000';
    expect((await readSettings(REQUIRED)).settings).toMatchObject({
      ok: true,
      value: {stopLimitMilliseconds: 5000},
    });
  });

  it('names the flag and the correction when an address is a host name', async () => {
    const args = REQUIRED.filter((flag) => !flag.startsWith('--log-'));
    const {settings} = await readSettings([...args, '--log-address=log:9000']);
    expect(settings).toEqual({
      ok: false,
      failure: [
        {
          field: '--log-address',
          problem:
            'give an IP number and port, such as 127.0.0.1:7000, not a name',
        },
      ],
    });
  });

  it('names every setting that is missing', async () => {
    const {settings} = await readSettings(['--box=box-1']);
    expect(settings.ok).toBe(false);
    if (!settings.ok) {
      expect(settings.failure.map(({field}) => field)).toContain(
        '--data-centre',
      );
    }
  });
});
