import type {MeshError} from '@verbenabeam/core';
import type {Snapshot} from '@verbenabeam/document';
import type {Result} from 'true-myth';

/** States of a rollout in the status that operators read. @public */
export const ROLLOUT_STATES = {
  running: 'running',
  done: 'done',
  rolledBack: 'rolledBack',
} as const;

/** One of the values of {@link ROLLOUT_STATES}. @public */
export type RolloutState = (typeof ROLLOUT_STATES)[keyof typeof ROLLOUT_STATES];

/** An operator's order to move a service to another upstream version. @public */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  /** Time limit of the rollout, in ms from the order. */
  readonly durationMs: number;
}

/** Status of a rollout for operators. @public */
export interface RolloutStatus {
  readonly targetVersion: string;
  readonly state: RolloutState;
}

/** A document that an operator wrote to the store. @public */
export type OperatorDocument =
  | {readonly kind: 'config'; readonly snapshot: Snapshot}
  | {readonly kind: 'order'; readonly order: RolloutOrder};

/**
 * Keys and formats of the records that operators and nodes write to the store.
 *
 * @public
 */
export interface OperatorFormat {
  /** Prefix of the keys that operators write. */
  readonly prefix: string;
  /** Null for a key that holds no operator document. */
  parse(
    key: string,
    value: Uint8Array,
  ): Result<OperatorDocument | null, MeshError>;
  /** Key of the status of a service's rollout. */
  statusKey(service: string): string;
  encodeStatus(status: RolloutStatus): Uint8Array;
  /** Null if it cannot be read. */
  parseStatus(value: Uint8Array): RolloutStatus | null;
}
