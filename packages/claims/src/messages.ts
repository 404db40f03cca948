import {createHash} from 'node:crypto';
import * as z from 'zod';
import {hashToUint32} from '@verbenabeam/core';

/**
 * Number of partitions of an environment. It must not change, because the store
 * keys of existing claims depend on it.
 *
 * @public
 */
export const partitionCount = 64;

/** Largest response body that is stored for repeated requests. @public */
export const maxResponseBodyBytes = 16 * 1024;

/** An idempotency key and the scope in which it is unique. @public */
export interface ClaimScope {
  readonly environment: string;
  readonly service: string;
  readonly callerClass: string;
  readonly key: string;
}

const storedResponse = z.object({
  status: z.number().int(),
  /** Names and values in turn, since a name may occur more than once. */
  headers: z.array(z.string()),
  body: z
    .instanceof(Uint8Array)
    .refine(b => b.byteLength <= maxResponseBodyBytes),
});

/** Response that is replayed to repetitions of a finished request. @public */
export type StoredResponse = z.infer<typeof storedResponse>;

/** Schema of the body of `claim.begin`. @public */
export const beginRequest = z.object({
  partition: z
    .number()
    .int()
    .min(0)
    .max(partitionCount - 1),
  /** Result of {@link claimDigest}. */
  claim: z.string().max(64),
  callId: z.string().max(64),
  /** Time that the call may run after the grant, in milliseconds. */
  holdMs: z.number().positive(),
});

/** Body of `claim.begin`. @public */
export type BeginRequest = z.infer<typeof beginRequest>;

/** Schema of the body of `claim.finish`. @public */
export const finishRequest = beginRequest.omit({holdMs: true}).extend({
  /** `ran` without an answer means that the response is not stored. */
  outcome: z.enum(['ran', 'notRun']),
  answer: storedResponse.nullable(),
});

/** Body of `claim.finish`. @public */
export type FinishRequest = z.infer<typeof finishRequest>;

/** Reply to `claim.begin`. Only `granted` allows the call to run. @public */
export type BeginReply =
  | {readonly state: 'granted'}
  | {readonly state: 'inProgress'}
  | {readonly state: 'finished'; readonly answer: StoredResponse | null}
  | {readonly state: 'unknown'};

/** Partition that stores a claim. @public */
export function partitionOf(scope: ClaimScope): number {
  return hashToUint32(scopeText(scope)) % partitionCount;
}

/** Identifies a claim. Its fixed length bounds the memory per claim. @public */
export function claimDigest(scope: ClaimScope): string {
  return createHash('sha256').update(scopeText(scope)).digest('base64url');
}

function scopeText(scope: ClaimScope): string {
  const {environment, service, callerClass, key} = scope;
  return JSON.stringify([environment, service, callerClass, key]);
}
