// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Entry point of a process that runs one soak and sends its result. */

import {runSoak} from './runSoak.js';
import type {SoakOrder} from './runSoakProcess.js';

// Exiting ends the nodes that this process has started.
process.once('disconnect', () => process.exit(1));

const {seed, size, folder} = JSON.parse(process.argv[2] ?? '') as SoakOrder;
process.send?.(await runSoak(seed, size, folder), () => process.exit(0));
