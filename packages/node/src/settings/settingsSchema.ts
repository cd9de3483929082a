// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The settings of a node, with one schema for flags and environment variables.
 */

import {LOG_LEVELS} from '@lockpin/logger';
import {parseAddress} from '@lockpin/utils';
import {z} from 'zod';
import {DEFAULT_DESCRIPTORS} from '../connection/connectionBounds.js';

const address = z.string().refine((text) => parseAddress(text) !== undefined, {
  message: 'give an IP number and port, such as 127.0.0.1:7000, not a name',
});

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'use 1 to 63 of a-z, 0-9 and -');

const optionalAddress = z.union([z.literal(''), address]);

/** Every setting and its limits; those in DEFAULT_SETTINGS are optional. */
export const settingsSchema = z.strictObject({
  box: name,
  dataCentre: name,
  callerAddress: address,
  operatorAddress: address,
  peerAddress: address,
  logAddress: address,
  boxListAddress: address,
  metricsAddress: optionalAddress,
  logLevel: z.enum(LOG_LEVELS),
  bootstrapTokenHash: z
    .string()
    .regex(/^$|^[0-9a-f]{32}:[0-9a-f]{64}$/, 'give salt:hash or leave empty'),
  largestBodyBytes: z.number().int().min(1024).max(1_073_741_824),
  descriptors: z.number().int().min(300).max(1_048_576),
  stopLimitMilliseconds: z.number().int().min(100).max(600_000),
  snapshotEveryRecords: z.number().int().min(1).max(1_000_000),
  snapshotEveryMilliseconds: z.number().int().min(1000),
});

/** The validated settings of a node. */
export type NodeSettings = Readonly<z.infer<typeof settingsSchema>>;

/** Values of settings that are not given. */
export const DEFAULT_SETTINGS = {
  metricsAddress: '',
  logLevel: 'info',
  bootstrapTokenHash: '',
  largestBodyBytes: 16 * 1024 * 1024,
  descriptors: DEFAULT_DESCRIPTORS,
  stopLimitMilliseconds: 30_000,
  snapshotEveryRecords: 500,
  snapshotEveryMilliseconds: 21_600_000,
} as const satisfies Partial<NodeSettings>;

/** Descriptions of the settings, shown by --help and in the reference. */
export const SETTING_DESCRIPTIONS: Readonly<
  Record<keyof NodeSettings, string>
> = {
  box: 'Name of the box this process runs on',
  dataCentre: 'Name of the data centre the box stands in',
  callerAddress: 'IP:port where callers are served',
  operatorAddress: 'IP:port where operators are served',
  peerAddress: 'IP:port, TCP and UDP, where other nodes are served',
  logAddress: "IP:port of the platform's log service",
  boxListAddress: "IP:port of the platform's list of boxes",
  metricsAddress: 'IP:port of a statsd collector; empty for none',
  logLevel: `Least level of log lines: ${LOG_LEVELS.join(', ')}`,
  bootstrapTokenHash:
    'salt:hash of a fleet-wide operator token named bootstrap; empty for none',
  largestBodyBytes: 'Largest body of a request, in bytes',
  descriptors: 'File descriptors that the process may have',
  stopLimitMilliseconds: 'Longest planned stop, in milliseconds',
  snapshotEveryRecords: 'Configuration records after which a snapshot is due',
  snapshotEveryMilliseconds:
    'Milliseconds after which a snapshot is due even without changes',
};
