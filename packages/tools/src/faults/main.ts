// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** `npm run faults`: generates docs/FAULTS.md. */

import {writeFile} from 'node:fs/promises';
import {renderFaults} from './renderFaults.js';

const PAGE = new URL('../../../../docs/FAULTS.md', import.meta.url);

await writeFile(PAGE, renderFaults());
