import xxhash from 'xxhash-wasm';

const api = await xxhash();

/** 64-bit xxHash of a text as 16 hexadecimal digits. @public */
export function hashText(text: string): string {
  return api.h64ToString(text);
}

/** 64-bit xxHash of bytes as 16 hexadecimal digits. @public */
export function hashBytes(bytes: Uint8Array): string {
  const hexDigits = 16;
  return api.h64Raw(bytes).toString(hexDigits).padStart(hexDigits, '0');
}

/** Maps a text uniformly to [0, 1), for example for traffic shares. @public */
export function hashToUnit(text: string): number {
  const unsigned32 = 2 ** 32;
  return (api.h32(text) >>> 0) / unsigned32;
}

/** Maps a text uniformly to an unsigned 32-bit integer. @public */
export function hashToUint32(text: string): number {
  return api.h32(text) >>> 0;
}
