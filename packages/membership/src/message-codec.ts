import {gossipMessageSchema} from './messages.js';
import type {GossipMessage} from './messages.js';
import {packHashes, unpackHashes} from './hash-pack.js';
import {
  packUpdates,
  packedUpdatesSchema,
  unpackUpdates,
} from './update-pack.js';

/** Encodes a message as its compact wire body. @public */
export function encodeGossip(message: GossipMessage): object {
  const body: Record<string, unknown> = {...message};
  if ('u' in message) {
    // Most probes carry no update while the fleet does not change.
    if (message.u.length > 0) body['u'] = packUpdates(message.u);
    else delete body['u'];
  }
  if ('h' in message) body['h'] = packHashes(message.h);
  if (message.k === 'digest') body['b'] = packHashes(message.b);
  return body;
}

/** Decodes and validates a body; null if it is malformed. @public */
export function decodeGossip(body: unknown): GossipMessage | null {
  if (typeof body !== 'object' || body === null) return null;
  const fields: Record<string, unknown> = {...body};
  const updates = decodeUpdates(fields['u']);
  if (!updates) return null;
  fields['u'] = updates;
  for (const name of ['h', 'b']) {
    const packed = fields[name];
    if (packed instanceof Uint8Array) fields[name] = unpackHashes(packed);
  }
  const parsed = gossipMessageSchema.safeParse(fields);
  return parsed.success ? parsed.data : null;
}

/** Validates and unpacks updates. Messages without updates omit the field. */
function decodeUpdates(packed: unknown): unknown[] | null {
  if (packed === undefined) return [];
  const parsed = packedUpdatesSchema.safeParse(packed);
  return parsed.success ? unpackUpdates(parsed.data) : null;
}
