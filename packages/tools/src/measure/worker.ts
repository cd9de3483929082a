// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Worker process: runs the tasks it receives and sends back their outcomes. */

import {measureTask} from './measureTask.js';
import type {MeasureTask} from './measureTask.js';

process.on('message', (task: MeasureTask) => {
  process.send?.(measureTask(task));
});
