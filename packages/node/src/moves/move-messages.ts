import {moveRecordSchema, moveStopSchema} from '@verbenabeam/moves';
import type {MoveRecord, MoveStop} from '@verbenabeam/moves';
import * as z from 'zod';

/** Message kinds of the move protocol. @internal */
export const MOVE_KINDS = {
  /** Notice that distributes stops and records down the push tree. */
  update: 'move.update',
  /** Request for the records and stops of a peer. */
  sync: 'move.sync',
  /** Notice that sends evidence to the parent in the tree. */
  evidence: 'move.evidence',
  /**
   * Notice that sends evidence from the root of a tree to the controller. Other
   * relays must not forward the notice: the evidence would return to its source, and evidence that
   * is counted twice stops good versions.
   */
  rootEvidence: 'move.rootEvidence',
  /** Notice with which the controller announces itself to the relays. */
  controller: 'move.controller',
} as const;

const maxItems = 256;

/** Schema of {@link MoveKnowledge} from a peer. @internal */
export const moveKnowledgeSchema = z.object({
  records: z.array(moveRecordSchema).max(maxItems),
  stops: z.array(moveStopSchema).max(maxItems),
});

/** Move records and stops known to a node. @internal */
export interface MoveKnowledge {
  readonly records: readonly MoveRecord[];
  readonly stops: readonly MoveStop[];
}

/** Schema of the response to a sync request. @internal */
export const moveSyncSchema = moveKnowledgeSchema.extend({
  /** False if the responding node may itself lack records. */
  synced: z.boolean(),
});

/** Schema of {@link MoveUpdate}. @internal */
export const moveUpdateSchema = moveKnowledgeSchema.extend({
  /** Root of the push tree in the receiver's data centre. */
  root: z.string(),
});

/** Move knowledge that is sent down a push tree. @internal */
export type MoveUpdate = z.infer<typeof moveUpdateSchema>;

/** Parses the move records of a push and skips malformed ones. */
export function parseRecords(values: readonly unknown[]): MoveRecord[] {
  return values.flatMap(value => {
    const parsed = moveRecordSchema.safeParse(value);
    return parsed.success ? [parsed.data] : [];
  });
}
