import * as z from 'zod';

const maxFingerprints = 1024;
const id = z.string().min(1).max(64);
const fingerprint = z.string().length(16);

/** Schema of a notice from another node. @public */
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
 * Message between the nodes of one service: fingerprints in flight at a crash,
 * fingerprints identified as its cause, or a suspect that was answered without a
 * crash. Notices may arrive twice and in any order.
 *
 * @public
 */
export type CrashNotice = z.infer<typeof crashNoticeSchema>;
