import * as z from 'zod';

/** One attempt of a call at an instance. */
export const callAttemptSchema = z.object({
  nodeId: z.string(),
  upstreamVersion: z.string(),
  code: z.number().int(),
  durationMs: z.number(),
});

/** What the entry node kept of one call. */
export const callRecordSchema = z.object({
  callId: z.string(),
  entryNodeId: z.string(),
  /** Milliseconds since the Unix epoch. */
  startedAt: z.number(),
  durationMs: z.number(),
  method: z.string(),
  path: z.string(),
  callerClass: z.string(),
  route: z.string().nullable(),
  service: z.string().nullable(),
  configVersion: z.number().int(),
  upstreamVersion: z.string().nullable(),
  attempts: z.array(callAttemptSchema),
  code: z.number().int(),
  status: z.number().int(),
});

/** What the entry node kept of one call. @public */
export type CallRecord = z.infer<typeof callRecordSchema>;
