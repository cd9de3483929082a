// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Reading and validation of manifests, and exit codes of failing commands. */

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
  it('reports why a file cannot be read', async () => {
    expect(await readManifests(['no-such-file'])).toEqual({
      ok: false,
      failure: [{field: 'no-such-file', problem: 'cannot be read: ENOENT'}],
    });
  });
});

describe('parseManifests', () => {
  it('parses YAML documents and JSON arrays', () => {
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

  it('reports unknown and invalid fields by name', () => {
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

  it('reports the expected form of a name', () => {
    expect(problemsOf('kind: Service\nname: b\n')).toEqual([
      'Service b: name: a Service is named customer/service',
    ]);
  });
});

describe('run', () => {
  it('exits with the usage code when the command is unknown', async () => {
    const output: string[] = [];
    const code = await run(['nonsense'], {
      out: (text) => output.push(text),
      err: (text) => output.push(text),
    });
    expect(code).toBe(2);
    expect(output.join('')).toMatch(/lockpin --help/);
  });

  it('reports the address of an unreachable node and exits as unavailable', async () => {
    const output: string[] = [];
    const code = await run(['status', '--node', '127.0.0.1:1'], {
      out: (text) => output.push(text),
      err: (text) => output.push(text),
    });
    expect(code).toBe(7);
    expect(output.join('')).toMatch(/No node answers at 127.0.0.1:1/);
  });
});
