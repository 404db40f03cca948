import type {EvidenceReport} from '@verbenabeam/moves';
import * as z from 'zod';
import {ROLLOUT_STATES} from './operator-documents.js';
import type {RolloutState} from './operator-documents.js';

/** Evidence of one node, sent to the coordinators. @internal */
export const EVIDENCE_NOTICE = 'rollout.evidence';
/** Stage of a rollout, sent by the coordinators to all nodes. @internal */
export const STAGE_NOTICE = 'rollout.stage';

const count = z.number().nonnegative();
const row = z.tuple([z.string(), count, count, count, count, count, count]);

/** @internal */
export const evidenceSchema = z.object({
  service: z.string(),
  /** Revision of the order. */
  revision: count,
  report: z.object({
    rows: z.array(row),
    sentFresh: count,
    sent: count,
    oldInFlight: count,
    share: count,
  }),
});

/** @internal */
export const stageSchema = z.object({
  service: z.string(),
  revision: count,
  state: z.enum(Object.values(ROLLOUT_STATES) as [RolloutState]),
  /** Share of the new version. */
  share: count,
  /** Time since the order, in milliseconds. */
  elapsedMs: count,
});

/** @internal */
export interface EvidenceMessage {
  readonly service: string;
  readonly revision: number;
  readonly report: EvidenceReport;
}

/** @internal */
export type StageMessage = z.infer<typeof stageSchema>;
