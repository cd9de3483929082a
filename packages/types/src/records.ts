// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Records of the configuration stream of the platform's log. */

import type {ResourceKind} from './resources.js';

/** One resource written by a change. */
export type Write =
  | {
      readonly operation: 'put';
      readonly kind: ResourceKind;
      readonly name: string;
      /** Version of the resource this write was based on; 0 when absent. */
      readonly basedOn: number;
      readonly spec: unknown;
    }
  | {
      readonly operation: 'delete';
      readonly kind: ResourceKind;
      readonly name: string;
      readonly basedOn: number;
    };

/** A set of writes that is applied atomically. */
export interface ChangeRecord {
  readonly kind: 'change';
  /** Unique id by which its author finds the change in the log. */
  readonly changeId: string;
  /** Name of the token that authorized the change; never its secret. */
  readonly author: string;
  readonly writes: readonly Write[];
}

/** A record with its offset in the log. */
export interface LogRecord<T = ChangeRecord> {
  readonly offset: number;
  readonly value: T;
}

/** Result of folding a change into the state; the same on every node. */
export type ChangeOutcome =
  | {readonly kind: 'accepted'; readonly version: number}
  | {
      readonly kind: 'conflict';
      readonly version: number;
      readonly resource: string;
      readonly basedOn: number;
      readonly winnerVersion: number;
      readonly winnerChangeId: string;
    }
  | {
      readonly kind: 'refused';
      readonly version: number;
      readonly problems: readonly FieldProblem[];
    };

/** An invalid field and how to correct it. */
export interface FieldProblem {
  readonly field: string;
  readonly problem: string;
}
