import * as z from 'zod';
import {DIGEST_BUCKETS} from './table-digest.js';
import {recordKeySchema, updateSchema} from './update.js';

/** Most records in one message. A table of 1,300 records takes 60 KB. */
const maxRecords = 5000;
/** Most alternative addresses in a `busy` reply. */
const maxAlternatives = 8;

const updates = z.array(updateSchema).max(maxRecords);
const hashes = z.array(z.int().min(0).max(0xffff_ffff)).max(maxRecords);
const probeNumber = z.int().nonnegative();
const bucketIndex = z
  .int()
  .min(0)
  .max(DIGEST_BUCKETS - 1);

/** Fields of a probe and its ack. Short keys keep the messages small. */
const probeFields = {
  /** Probe number, chosen by the sender of the probe. */
  n: probeNumber,
  /** Key of the sender's own record. */
  s: recordKeySchema,
  /** Version and hash of the configuration in use at the sender. */
  c: z.tuple([z.int().nonnegative(), z.string().max(16)]),
  /** Recent updates. */
  u: updates,
  /** Key of the receiver's record if the sender marks it suspect or dead. */
  d: recordKeySchema.optional(),
  /** Set to request the receiver's complete record. */
  w: z.literal(true).optional(),
};

/** Schema of the messages that nodes exchange. @public */
export const gossipMessageSchema = z.discriminatedUnion('k', [
  z.object({k: z.literal('probe'), ...probeFields}),
  z.object({k: z.literal('ack'), ...probeFields}),
  /** Asks the receiver to probe the node at `to` and to forward its ack. */
  z.object({
    k: z.literal('indirect'),
    n: probeNumber,
    to: z.string().max(64),
  }),
  /** Updates. The receiver forwards new ones at once if `urgent` is set. */
  z.object({k: z.literal('updates'), u: updates, urgent: z.boolean()}),
  z.object({k: z.literal('join'), u: updates}),
  /** All live records; `full` is false while the sender is still joining. */
  z.object({k: z.literal('table'), u: updates, full: z.boolean()}),
  /**
   * Rejects a join. `ms` is the base of the retry delay, `to` lists addresses
   * of other members that can serve the table.
   */
  z.object({
    k: z.literal('busy'),
    ms: z.int().positive().max(600_000),
    to: z.array(z.string().max(64)).max(maxAlternatives),
  }),
  z.object({
    k: z.literal('digest'),
    b: z.array(z.int()).length(DIGEST_BUCKETS),
  }),
  /** Reply to a digest: the differing buckets and their record hashes. */
  z.object({
    k: z.literal('sums'),
    b: z.array(bucketIndex).max(DIGEST_BUCKETS),
    h: hashes,
  }),
  /** Requests the records with the given hashes. */
  z.object({k: z.literal('want'), h: hashes}),
  /** Records that the receiver lacks; `ask` requests those the sender lacks. */
  z.object({k: z.literal('diff'), u: updates, ask: z.boolean()}),
]);

/** A membership message between nodes. @public */
export type GossipMessage = z.infer<typeof gossipMessageSchema>;

/** A message of one kind. @public */
export type GossipMessageOf<K extends GossipMessage['k']> = Extract<
  GossipMessage,
  {k: K}
>;

/** A message for the caller of `Gossip` to send. @public */
export interface GossipAction {
  /** Wire address of the receiver. */
  readonly to: string;
  readonly message: GossipMessage;
}
