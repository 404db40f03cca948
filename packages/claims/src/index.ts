/**
 * Claims of idempotency keys, by which a request runs at most once. The claims
 * are partitioned, and each partition is served by one owner node.
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
  claimDigest,
  finishRequest,
  maxResponseBodyBytes,
  partitionCount,
  partitionOf,
} from './messages.js';
export type {
  StoredResponse,
  BeginReply,
  BeginRequest,
  ClaimScope,
  FinishRequest,
} from './messages.js';
export {rendezvousOrder} from './rendezvous.js';
