/**
 * At-most-once claims of idempotency keys, by partition.
 *
 * @packageDocumentation
 */
export {ClaimClient} from './claim-client.js';
export type {
  ClaimCall,
  ClaimClientOptions,
  ClaimOutcome,
  SendClaimMessage,
} from './claim-client.js';
export {defaultClaimLimits} from './claim-limits.js';
export type {ClaimLimits} from './claim-limits.js';
export {ClaimOwner} from './claim-owner.js';
export type {ClaimOwnerOptions} from './claim-owner.js';
export {
  beginRequest,
  claimOf,
  finishRequest,
  maxAnswerBytes,
  partitionCount,
  partitionOf,
} from './messages.js';
export type {
  Answer,
  BeginReply,
  BeginRequest,
  ClaimScope,
  FinishRequest,
} from './messages.js';
export {rendezvousOrder} from './rendezvous.js';
