// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The fault matrix references only existing tests, and its page is current. */

import {readFile} from 'node:fs/promises';
import {describe, expect, it} from 'vitest';
import {allTests, renderFaults} from '../faults/renderFaults.js';

const ROOT = new URL('../../../../', import.meta.url);

describe('the fault matrix', () => {
  it.each(allTests())(
    'references an existing test: $title',
    async ({file, title}) => {
      const text = await readFile(new URL(file, ROOT), 'utf8');
      expect(text).toContain(title);
    },
  );

  it('matches docs/FAULTS.md', async () => {
    const page = await readFile(new URL('docs/FAULTS.md', ROOT), 'utf8');
    expect(page).toBe(renderFaults());
  });
});
