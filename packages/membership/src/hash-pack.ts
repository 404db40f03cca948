const hashBytes = 4;

/** Packs 32-bit hashes into 4 bytes each. @internal */
export function packHashes(hashes: readonly number[]): Uint8Array {
  const bytes = Buffer.alloc(hashes.length * hashBytes);
  for (const [i, hash] of hashes.entries()) {
    bytes.writeUInt32BE(hash, i * hashBytes);
  }
  return bytes;
}

/** Reverses {@link packHashes}; drops an incomplete last hash. @internal */
export function unpackHashes(bytes: Uint8Array): number[] {
  const view = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const count = Math.floor(bytes.length / hashBytes);
  return Array.from({length: count}, (_, i) =>
    view.readUInt32BE(i * hashBytes),
  );
}
