import * as z from 'zod';
import {durationSchema} from './duration.js';
import {socketAddressSchema} from './socket-address.js';

const minKeyLength = 16;
const keySchema = z
  .string()
  .min(minKeyLength, `expected at least ${minKeyLength} characters`);
const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected a lower-case name');

/** Schema of the TOML settings file of the node daemon. */
export const nodeSettingsSchema = z.strictObject({
  node: z.strictObject({
    /** Name of the node; the default is derived from the start time. */
    id: nameSchema.optional(),
    environment: nameSchema,
    data_centre: nameSchema,
    region: nameSchema,
  }),
  listen: z.strictObject({
    callers: socketAddressSchema,
    wire: socketAddressSchema,
    admin: socketAddressSchema,
  }),
  store: z.strictObject({
    endpoints: z.array(z.url()).min(1),
    timeout: durationSchema.default(1_000),
    /** Sustained rate limit for store calls of this node, per second. */
    calls_per_second: z.number().positive().default(20),
  }),
  /**
   * Wire addresses of nodes to join, in addition to the relays in the store.
   */
  seeds: z
    .strictObject({addresses: z.array(socketAddressSchema).default([])})
    .default({addresses: []}),
  access: z.strictObject({
    node_key: keySchema.optional(),
    node_key_file: z.string().optional(),
    operator_token: keySchema.optional(),
    operator_token_file: z.string().optional(),
  }),
  tls: z
    .strictObject({
      certificate_file: z.string(),
      private_key_file: z.string(),
      authority_file: z.string(),
    })
    .optional(),
  limits: z
    .strictObject({
      /** Maximum expected wait for a slot. */
      queue_wait: durationSchema.default(50),
      /** Maximum share of calls that may be retried, 0 to 1. */
      retry_share: z.number().min(0).max(1).default(0.1),
      /**
       * Maximum wait for calls in flight on a planned stop; 0 means no limit.
       */
      stop_wait: durationSchema.default(0),
    })
    .default({queue_wait: 50, retry_share: 0.1, stop_wait: 0}),
});

/** Validated settings of the file, with defaults. @public */
export type NodeSettingsFile = z.infer<typeof nodeSettingsSchema>;

/**
 * Settings with the node key and operator token, read from files if configured.
 *
 * @public
 */
export interface NodeSettings extends NodeSettingsFile {
  readonly nodeKey: string;
  readonly operatorToken: string;
}
