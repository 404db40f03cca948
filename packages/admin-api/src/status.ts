import * as z from 'zod';

/** One node as the asked node sees it. */
export const nodeStatusSchema = z.object({
  nodeId: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  state: z.string(),
  relay: z.boolean(),
  service: z.string().nullable(),
  upstreamVersion: z.string().nullable(),
  upstreamState: z.string().nullable(),
  configVersion: z.number().int(),
  /** Why the node lags behind; null if it does not. */
  lagReason: z.string().nullable(),
});

/** One node as the asked node sees it. @public */
export type NodeStatus = z.infer<typeof nodeStatusSchema>;

/** Answer to a status request. */
export const statusResponseSchema = z.object({
  nodeId: z.string(),
  environment: z.string(),
  configVersion: z.number().int(),
  configHash: z.string().nullable(),
  storeReachable: z.boolean(),
  alarms: z.array(
    z.object({code: z.number().int(), name: z.string(), message: z.string()}),
  ),
  nodes: z.array(nodeStatusSchema),
});

/** Answer to a status request. @public */
export type StatusResponse = z.infer<typeof statusResponseSchema>;
