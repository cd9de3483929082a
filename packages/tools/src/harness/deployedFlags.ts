// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** How the deployment starts each process. */

import {readFileSync} from 'node:fs';

const DEPLOY_FILE = new URL('../../../../deploy/system.toml', import.meta.url);

/** The flags of the runtime, and the bundle, but for the port of its metrics. */
const ROLE_ARGUMENTS = /^run = "node (.*) \d+"$/m;

/** The arguments of Node.js up to the port of the metrics. */
export function deployedArguments(): readonly string[] {
  const text = readFileSync(DEPLOY_FILE, 'utf8');
  return ROLE_ARGUMENTS.exec(text)?.[1]?.split(' ') ?? [];
}

/** The V8 flags that the deployment gives to each process; others refuse the code cache. */
export function deployedFlags(): readonly string[] {
  return deployedArguments().filter((word) => word.startsWith('--'));
}
