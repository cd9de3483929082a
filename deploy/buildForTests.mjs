// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Makes the bundle once before all tests; several of them start it as a process. */

export async function setup() {
  await import('./build.mjs');
}
