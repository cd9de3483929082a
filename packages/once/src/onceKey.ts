// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Once keys: a time-ordered id, bound to the one process that may run it. */

import {v7, validate, version} from 'uuid';
import type {RandomSource} from '@lockpin/types';

/** The one process that may run a key. */
export interface OnceHome {
  readonly box: string;
  /** Distinguishes the process from all others that ran on the box. */
  readonly incarnation: string;
}

/** A parsed once key. */
export interface OnceKey {
  readonly text: string;
  readonly mintedAt: number;
  readonly home: OnceHome;
}

const SEPARATOR = '~';
const RANDOM_BYTES = 16;

/** Mints a key that only the given home may run. */
export function mintOnceKey(
  now: number,
  random: RandomSource,
  home: OnceHome,
): string {
  const bytes = Uint8Array.from({length: RANDOM_BYTES}, () =>
    Math.floor(random() * 256),
  );
  const identity = v7({msecs: now, random: bytes});
  return [identity, home.box, home.incarnation].join(SEPARATOR);
}

/** Parses a key; undefined when it was not minted by lockpin. */
export function parseOnceKey(text: string): OnceKey | undefined {
  const [identity, box, incarnation, ...rest] = text.split(SEPARATOR);
  if (!identity || !box || !incarnation || rest.length > 0) {
    return undefined;
  }
  if (!validate(identity) || version(identity) !== 7) {
    return undefined;
  }
  return {
    text,
    mintedAt: Number.parseInt(identity.replaceAll('-', '').slice(0, 12), 16),
    home: {box, incarnation},
  };
}

/**
 * Creates the identity of a process from its start time and a random suffix.
 */
export function createIncarnation(now: number, random: RandomSource): string {
  const suffix = Math.floor(random() * 2 ** 31).toString(36);
  return `${now.toString(36)}${suffix.padStart(6, '0')}`;
}
