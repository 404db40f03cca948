import {z} from 'zod';
import {gossipMessageSchema} from './messages.js';
import type {GossipMessage} from './messages.js';
import {packHashes, unpackHashes} from './hash-pack.js';
import {
  packUpdates,
  packedUpdatesSchema,
  unpackUpdates,
} from './update-pack.js';

const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);
const packedSchema = z.looseObject({
  u: packedUpdatesSchema.optional(),
  h: bytes.optional(),
  b: z.union([bytes, z.array(z.unknown())]).optional(),
});

/** Makes the compact body in which a message travels. @public */
export function encodeGossip(message: GossipMessage): object {
  const body: Record<string, unknown> = {...message};
  if ('u' in message) {
    // Most probes of a settled fleet carry no update.
    if (message.u.length > 0) body['u'] = packUpdates(message.u);
    else delete body['u'];
  }
  if ('h' in message) body['h'] = packHashes(message.h);
  if (message.k === 'digest') body['b'] = packHashes(message.b);
  return body;
}

/** Restores and checks a message; null if it is malformed. @public */
export function decodeGossip(body: unknown): GossipMessage | null {
  const packed = packedSchema.safeParse(body);
  if (!packed.success) return null;
  const {u, h, b, ...rest} = packed.data;
  const lists = {
    u: u ? unpackUpdates(u) : [],
    ...(h && {h: unpackHashes(h)}),
    ...(b && {b: b instanceof Uint8Array ? unpackHashes(b) : b}),
  };
  const parsed = gossipMessageSchema.safeParse({...lists, ...rest});
  return parsed.success ? parsed.data : null;
}
