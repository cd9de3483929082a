#!/usr/bin/env node
// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Entry point of the lockpin command line. */

import {run} from './run.js';

process.exitCode = await run(process.argv.slice(2), {
  out: (text) => process.stdout.write(text),
  err: (text) => process.stderr.write(text),
});
