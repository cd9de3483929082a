// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Target scale and resource budget for capacity planning. */

/** Size that has to be supported within two years. */
export const TARGET_SCALE = {
  nodes: 3900,
  upstreams: 45_000,
  services: 1200,
  routes: 38_000,
  customers: 150_000,
  requestsPerSecond: 480_000,
  dataCentres: 17,
  changesPerDay: 10_000,
  restartsPerDay: 18_000,
  spreadSeconds: 16,
} as const;

/** Resources that a node may spend on control. */
export const NODE_BUDGET = {
  corePercent: 1.8,
  megabytes: 256,
  bytesPerSecond: 22 * 1024,
} as const;

/** Seconds per day. */
export const DAY_SECONDS = 86_400;
