import * as z from 'zod';

const maxSlots = 10_000;
const name = z.string().min(1).max(128);

/** Schema of the body of `POST /announce`. @public */
export const announcementSchema = z.strictObject({
  service: name,
  version: name,
  /** `ip:port` to which the node forwards calls. */
  address: z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/),
  /** Number of calls that the upstream runs concurrently. */
  slots: z.int().min(1).max(maxSlots),
  state: z.enum(['cold', 'ready', 'leaving']),
  /** Identifier of the upstream process, if it sends one. */
  process: z.string().min(1).max(256).optional(),
});

/** State that an upstream reports to its node once a second. @public */
export type Announcement = z.infer<typeof announcementSchema>;
