import {createHash} from 'node:crypto';
import * as z from 'zod';
import {hashToUint32} from '@verbenabeam/core';

/** Number of partitions of an environment; fixed, because it selects keys. @public */
export const partitionCount = 64;

/** Largest response body that is kept for a repeated request, in bytes. @public */
export const maxAnswerBytes = 16 * 1024;

/** What one idempotency key is unique in. @public */
export interface ClaimScope {
  readonly environment: string;
  readonly service: string;
  readonly callerClass: string;
  readonly key: string;
}

const answer = z.object({
  status: z.number().int(),
  /** Flat list of names and values, as names may repeat. */
  headers: z.array(z.string()),
  body: z.instanceof(Uint8Array).refine(b => b.byteLength <= maxAnswerBytes),
});

/** Response of a finished request, kept for repetitions. @public */
export type Answer = z.infer<typeof answer>;

/** Body of `claim.begin`. @public */
export const beginRequest = z.object({
  partition: z
    .number()
    .int()
    .min(0)
    .max(partitionCount - 1),
  /** Digest of the claim's scope and key. */
  claim: z.string().max(64),
  callId: z.string().max(64),
  /** The call may run this long after the grant, in milliseconds. */
  holdMs: z.number().positive(),
});

/** @public */
export type BeginRequest = z.infer<typeof beginRequest>;

/** Body of `claim.finish`. @public */
export const finishRequest = beginRequest.omit({holdMs: true}).extend({
  /** `ran` without an answer means that the answer is not kept. */
  outcome: z.enum(['ran', 'notRun']),
  answer: answer.nullable(),
});

/** @public */
export type FinishRequest = z.infer<typeof finishRequest>;

/** Decision about a begin. Only `granted` allows the request to run. @public */
export type BeginReply =
  | {readonly state: 'granted'}
  | {readonly state: 'inProgress'}
  | {readonly state: 'finished'; readonly answer: Answer | null}
  | {readonly state: 'unknown'};

/** Partition of a claim. @public */
export function partitionOf(scope: ClaimScope): number {
  return hashToUint32(scopeText(scope)) % partitionCount;
}

/** Digest that identifies a claim; its length bounds the memory. @public */
export function claimOf(scope: ClaimScope): string {
  return createHash('sha256').update(scopeText(scope)).digest('base64url');
}

function scopeText(scope: ClaimScope): string {
  const {environment, service, callerClass, key} = scope;
  return JSON.stringify([environment, service, callerClass, key]);
}
