import {moveRecordSchema, moveStopSchema} from '@verbenabeam/moves';
import type {MoveRecord, MoveStop} from '@verbenabeam/moves';
import * as z from 'zod';

/** Kinds of the messages about moves. @internal */
export const MOVE_KINDS = {
  /** Notice that spreads stops and records down the push tree. */
  update: 'move.update',
  /** Request for the records and stops of a peer. */
  sync: 'move.sync',
  /** Notice with evidence for the parent in the tree. */
  evidence: 'move.evidence',
  /**
   * Notice with evidence from the root of a tree, for the controller alone. A
   * relay that passed it on would send it back to its source, and evidence that
   * is counted twice stops good versions.
   */
  rootEvidence: 'move.rootEvidence',
  /** Notice by which the controller shows itself to the relays. */
  controller: 'move.controller',
} as const;

const maxItems = 256;

/** Checks {@link MoveKnowledge} of a peer. @internal */
export const moveKnowledgeSchema = z.object({
  records: z.array(moveRecordSchema).max(maxItems),
  stops: z.array(moveStopSchema).max(maxItems),
});

/** What a node knows of the moves. @internal */
export interface MoveKnowledge {
  readonly records: readonly MoveRecord[];
  readonly stops: readonly MoveStop[];
}

/** Checks the answer to a sync request. @internal */
export const moveSyncSchema = moveKnowledgeSchema.extend({
  /** False for a node that may lack records itself. */
  synced: z.boolean(),
});

/** Checks a {@link MoveUpdate}. @internal */
export const moveUpdateSchema = moveKnowledgeSchema.extend({
  /** Root of the push tree in the receiver's data centre. */
  root: z.string(),
});

/** Move knowledge on its way down a push tree. @internal */
export type MoveUpdate = z.infer<typeof moveUpdateSchema>;

/** Checks the values that came with a push; malformed ones are left out. */
export function parseRecords(values: readonly unknown[]): MoveRecord[] {
  return values.flatMap(value => {
    const parsed = moveRecordSchema.safeParse(value);
    return parsed.success ? [parsed.data] : [];
  });
}
