import {Decoder, Encoder} from 'cbor-x';

/** First element of each frame. Numbers are part of the protocol. @internal */
export const FRAME_TYPES = {
  request: 0,
  response: 1,
  failure: 2,
  notice: 3,
  open: 4,
  head: 5,
  chunk: 6,
  end: 7,
  reset: 8,
  credit: 9,
  ping: 10,
  pong: 11,
  goAway: 12,
  hello: 20,
  challenge: 21,
  proof: 22,
} as const;

/** A decoded frame: its type, then its fields. @internal */
export type Frame = readonly [type: number, ...fields: unknown[]];

/** Bytes of the length that precedes each frame. @internal */
export const LENGTH_BYTES = 4;

/** 1 MB for a document or body, 64 KB for what surrounds it. @internal */
export const MAX_FRAME_BYTES = 1_048_576 + 65_536;

/** Limit before the peer is authenticated. @internal */
export const MAX_HANDSHAKE_FRAME_BYTES = 4096;

const cborOptions = {
  useRecords: false,
  mapsAsObjects: true,
  variableMapSize: true,
  tagUint8Array: false,
};
const encoder = new Encoder(cborOptions);
const decoder = new Decoder(cborOptions);

/** Encodes a frame with its length. @internal */
export function encodeFrame(frame: Frame): Buffer {
  const body = encoder.encode(frame);
  const bytes = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  bytes.writeUInt32BE(body.length, 0);
  body.copy(bytes, LENGTH_BYTES);
  return bytes;
}

/**
 * Decodes the body of a frame; null if it is not an array that begins with an
 * integer.
 *
 * @internal
 */
export function decodeFrame(body: Uint8Array): Frame | null {
  let value: unknown;
  try {
    value = decoder.decode(body);
  } catch {
    return null;
  }
  if (!Array.isArray(value) || !Number.isInteger(value[0])) return null;
  return value as unknown as Frame;
}
