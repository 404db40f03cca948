import * as z from 'zod';

/** One line of a node's log. */
export const logEventSchema = z.looseObject({
  /** Milliseconds since the Unix epoch, on the clock of the node. */
  time: z.number(),
  node: z.string(),
  part: z.string(),
  msg: z.string(),
  requestId: z.string().optional(),
});

/** One line of a node's log. */
export type LogEvent = z.infer<typeof logEventSchema>;
