import * as z from 'zod';

const maxSlots = 10_000;
const name = z.string().min(1).max(128);

/** Checks the body of `POST /announce`. @public */
export const announcementSchema = z.strictObject({
  service: name,
  version: name,
  /** `ip:port` to which calls are passed. */
  address: z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/),
  /** Calls that the upstream runs at once. */
  slots: z.int().min(1).max(maxSlots),
  state: z.enum(['cold', 'ready', 'leaving']),
  /** Identity of the process, if it has one. */
  process: z.string().min(1).max(256).optional(),
});

/** What an upstream says of itself, once a second. @public */
export type Announcement = z.infer<typeof announcementSchema>;
