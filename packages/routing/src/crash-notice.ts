import * as z from 'zod';

const maxFingerprints = 1024;
const id = z.string().min(1).max(64);
const fingerprint = z.string().length(16);

/** Checks a notice of another node. @public */
export const crashNoticeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('suspects'),
    crashId: id,
    fingerprints: z.array(fingerprint).max(maxFingerprints),
  }),
  z.object({
    kind: z.literal('quarantined'),
    crashId: id,
    fingerprints: z.array(fingerprint).max(maxFingerprints),
  }),
  z.object({kind: z.literal('cleared'), fingerprint}),
]);

/**
 * Message between the nodes of one service: requests in flight at a crash,
 * requests recognised as its cause, or a suspect that was answered. Notices may
 * arrive twice and in any order.
 *
 * @public
 */
export type CrashNotice = z.infer<typeof crashNoticeSchema>;
