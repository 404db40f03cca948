import type {EvidenceReport} from '@verbenabeam/moves';
import {eraOf, revisionOf} from '@verbenabeam/store';
import * as z from 'zod';
import {ROLLOUT_STATES} from './operator-documents.js';
import type {RolloutState} from './operator-documents.js';

/** Evidence of one node, sent to the coordinators. @internal */
export const EVIDENCE_NOTICE = 'rollout.evidence';
/** Stage of a rollout, sent by the coordinators to all nodes. @internal */
export const STAGE_NOTICE = 'rollout.stage';

const count = z.number().nonnegative();

/** What identifies an order in messages. */
const orderFields = {
  /** Revision of the order, without its era. */
  revision: count,
  /** Its position across eras; absent in era 0. */
  position: count.optional(),
};
const row = z.tuple([z.string(), count, count, count, count, count, count]);

/** @internal */
export const evidenceSchema = z.object({
  service: z.string(),
  ...orderFields,
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
  ...orderFields,
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
  readonly position?: number | undefined;
  readonly report: EvidenceReport;
}

/** @internal */
export type StageMessage = z.infer<typeof stageSchema>;

/** Fields that identify the order at a position. @internal */
export function orderIdOf(position: number): {
  revision: number;
  position?: number;
} {
  const revision = revisionOf(position);
  return eraOf(position) === 0 ? {revision} : {revision, position};
}

/** Whether a message is about the order at a position. @internal */
export function isOfOrder(
  message: {revision: number; position?: number | undefined},
  position: number,
): boolean {
  const isSameBuild = message.position !== undefined;
  if (isSameBuild) return message.position === position;
  return message.revision === revisionOf(position);
}
