// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Manifests and their problems. */

import {describe, expect, it} from 'vitest';
import {parseManifests, readManifests} from '../manifests.js';
import {run} from '../run.js';

function problemsOf(text: string): readonly string[] {
  const parsed = parseManifests(text);
  return parsed.ok
    ? []
    : parsed.failure.map(({field, problem}) => `${field}: ${problem}`);
}

describe('readManifests', () => {
  it('says why a file cannot be read', async () => {
    expect(await readManifests(['no-such-file'])).toEqual({
      ok: false,
      failure: [{field: 'no-such-file', problem: 'cannot be read: ENOENT'}],
    });
  });
});

describe('parseManifests', () => {
  it('reads YAML documents and JSON alike', () => {
    const yaml = 'kind: Customer\nname: a\n---\nkind: Customer\nname: b\n';
    const json =
      '[{"kind":"Customer","name":"a"},{"kind":"Customer","name":"b"}]';
    const names = (text: string) => {
      const parsed = parseManifests(text);
      return parsed.ok ? parsed.value.map(({name}) => name) : [];
    };
    expect(names(yaml)).toEqual(['a', 'b']);
    expect(names(json)).toEqual(['a', 'b']);
  });

  it('names the field that is unknown or wrong', () => {
    const text = [
      'kind: Upstream',
      'name: a/b/c',
      'spec: {address: "host:80", dataCentre: one, box: x, slots: 4, colour: red}',
    ].join('\n');
    const problems = problemsOf(text);
    expect(problems).toHaveLength(2);
    expect(problems.join('\n')).toMatch(/spec\.address: give an IP number/);
    expect(problems.join('\n')).toMatch(/spec: Unrecognized key: "colour"/);
  });

  it('says what a name must look like', () => {
    expect(problemsOf('kind: Service\nname: b\n')).toEqual([
      'Service b: name: a Service is named customer/service',
    ]);
  });
});

describe('run', () => {
  it('ends with the code of wrong use when a command is unknown', async () => {
    const written: string[] = [];
    const code = await run(['nonsense'], {
      out: (text) => written.push(text),
      err: (text) => written.push(text),
    });
    expect(code).toBe(2);
    expect(written.join('')).toMatch(/lockpin --help/);
  });

  it('says where no node answers, with the code for that', async () => {
    const written: string[] = [];
    const code = await run(['status', '--node', '127.0.0.1:1'], {
      out: (text) => written.push(text),
      err: (text) => written.push(text),
    });
    expect(code).toBe(7);
    expect(written.join('')).toMatch(/No node answers at 127.0.0.1:1/);
  });
});
