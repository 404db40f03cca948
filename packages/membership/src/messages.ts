import * as z from 'zod';
import {DIGEST_BUCKETS} from './table-digest.js';
import {recordKeySchema, updateSchema} from './update.js';

/** Most records in one message; a table of 1,300 records takes 60 KB. */
const maxRecords = 5000;
/** Most nodes that a busy seed names. */
const maxReferred = 8;

const updates = z.array(updateSchema).max(maxRecords);
const hashes = z.array(z.int().min(0).max(0xffff_ffff)).max(maxRecords);
const probeNumber = z.int().nonnegative();
const bucketIndex = z
  .int()
  .min(0)
  .max(DIGEST_BUCKETS - 1);

/** Fields of a probe and of its acknowledgement; keys are short for size. */
const contact = {
  /** Number of the probe, chosen by its sender. */
  n: probeNumber,
  /** Key of the sender's own record. */
  s: recordKeySchema,
  /** Version and hash of the configuration that the sender serves. */
  c: z.tuple([z.int().nonnegative(), z.string().max(16)]),
  /** Recent updates. */
  u: updates,
  /** Key of the receiver's record that the sender holds suspect or dead. */
  d: recordKeySchema.optional(),
  /** True to ask for the receiver's complete record. */
  w: z.literal(true).optional(),
};

/** Checks a message of another node. @public */
export const gossipMessageSchema = z.discriminatedUnion('k', [
  z.object({k: z.literal('probe'), ...contact}),
  z.object({k: z.literal('ack'), ...contact}),
  /** Asks to probe the node at address `to` and to pass its answer on. */
  z.object({
    k: z.literal('indirect'),
    n: probeNumber,
    to: z.string().max(64),
  }),
  /** Updates; `urgent` ones are passed on at once when they are new. */
  z.object({k: z.literal('updates'), u: updates, urgent: z.boolean()}),
  z.object({k: z.literal('join'), u: updates}),
  /** `full` is false while the sender has not joined itself. */
  z.object({k: z.literal('table'), u: updates, full: z.boolean()}),
  /**
   * Refuses a join; `ms` is the base of the wait before the next try, `to` are
   * addresses of other members that may be asked.
   */
  z.object({
    k: z.literal('busy'),
    ms: z.int().positive().max(600_000),
    to: z.array(z.string().max(64)).max(maxReferred),
  }),
  z.object({
    k: z.literal('digest'),
    b: z.array(z.int()).length(DIGEST_BUCKETS),
  }),
  /** Answers a digest: the buckets that differ and their record hashes. */
  z.object({
    k: z.literal('sums'),
    b: z.array(bucketIndex).max(DIGEST_BUCKETS),
    h: hashes,
  }),
  /** Asks for the records of the given hashes. */
  z.object({k: z.literal('want'), h: hashes}),
  /** Records that the receiver lacks; `ask` tells it to send its own ones. */
  z.object({k: z.literal('diff'), u: updates, ask: z.boolean()}),
]);

/** Message between nodes about membership. @public */
export type GossipMessage = z.infer<typeof gossipMessageSchema>;

/** A message of one kind. @public */
export type GossipMessageOf<K extends GossipMessage['k']> = Extract<
  GossipMessage,
  {k: K}
>;

/** What the driver has to send. @public */
export interface GossipAction {
  /** Wire address of the receiver. */
  readonly to: string;
  readonly message: GossipMessage;
}
