import {FRAME_TYPES, LENGTH_BYTES} from './frame.js';

/** Bytes of a stream, as read from one frame. @internal */
export interface Chunk {
  readonly streamId: number;
  readonly bytes: Buffer;
}

/**
 * Chunk frames are written and read by hand, because they are most of the
 * traffic: the payload is neither copied into the encoder nor out of it. The
 * bytes are the CBOR array `[6, streamId, payload]` with 32-bit lengths.
 */
const array3 = 0x83;
const uint32 = 0x1a;
const byteString32 = 0x5a;
const idTagAt = 2;
const idAt = 3;
const payloadTagAt = 7;
const payloadLengthAt = 8;
const headerBytes = 12;

/** Encodes all of a chunk frame except its payload. @internal */
export function encodeChunkHeader(streamId: number, length: number): Buffer {
  const header = Buffer.allocUnsafe(LENGTH_BYTES + headerBytes);
  header.writeUInt32BE(headerBytes + length, 0);
  header[LENGTH_BYTES] = array3;
  header[LENGTH_BYTES + 1] = FRAME_TYPES.chunk;
  header[LENGTH_BYTES + idTagAt] = uint32;
  header.writeUInt32BE(streamId, LENGTH_BYTES + idAt);
  header[LENGTH_BYTES + payloadTagAt] = byteString32;
  header.writeUInt32BE(length, LENGTH_BYTES + payloadLengthAt);
  return header;
}

/**
 * Reads a chunk frame without its length; null if it is not one. Of a frame
 * that has not arrived whole, the chunk holds the bytes so far.
 *
 * @param length - Bytes of the whole frame.
 * @internal
 */
export function decodeChunk(body: Buffer, length = body.length): Chunk | null {
  const isChunk =
    body.length >= headerBytes &&
    body[0] === array3 &&
    body[1] === FRAME_TYPES.chunk &&
    body[idTagAt] === uint32 &&
    body[payloadTagAt] === byteString32 &&
    body.readUInt32BE(payloadLengthAt) === length - headerBytes;
  if (!isChunk) return null;
  return {
    streamId: body.readUInt32BE(idAt),
    bytes: body.subarray(headerBytes),
  };
}
