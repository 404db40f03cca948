import * as z from 'zod';
import {authorSchema} from './author.js';

/** Evidence on one route of a move, old version against new. */
export const routeEvidenceSchema = z.object({
  route: z.string(),
  oldCalls: z.number(),
  oldFailures: z.number(),
  newCalls: z.number(),
  newFailures: z.number(),
});

/** State of one move. */
export const moveStatusSchema = z.object({
  moveId: z.string(),
  service: z.string(),
  from: z.string(),
  to: z.string(),
  state: z.string(),
  step: z.number().int(),
  /** Share of the calls that go to the new version, 0 to 1. */
  share: z.number(),
  reason: z.string().nullable(),
  deadlineAt: z.number(),
  /** True when the asked node sends no more calls to the new version. */
  stoppedHere: z.boolean(),
  evidence: z.array(routeEvidenceSchema),
});

/** State of one move. @public */
export type MoveStatus = z.infer<typeof moveStatusSchema>;

/** Body of a take-back request. */
export const takeBackRequestSchema = z.strictObject({
  author: authorSchema,
});

/** Answer to a moves request. */
export const movesResponseSchema = z.object({
  environment: z.string(),
  moves: z.array(moveStatusSchema),
});

/** Answer to a moves request. @public */
export type MovesResponse = z.infer<typeof movesResponseSchema>;
