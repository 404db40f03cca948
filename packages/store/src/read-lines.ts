const lineEnd = 0x0a;
/**
 * Longest line in bytes: one message of a watch, whose values have at most 1 MB each
 * and are in base64; several changes may come in one message.
 */
const maxLineBytes = 16_777_216;

/**
 * Splits a body into lines that are not empty; unlike `readline` it ends when the
 * body fails. The parts of a line are joined once, at its end. Throws if a line is
 * too long.
 *
 * @internal
 */
export async function* readLines(
  body: AsyncIterable<Buffer>,
): AsyncGenerator<string> {
  let pieces: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    let from = 0;
    while (from < chunk.length) {
      const at = chunk.indexOf(lineEnd, from);
      const end = at < 0 ? chunk.length : at;
      if (end > from) pieces.push(chunk.subarray(from, end));
      bytes += end - from;
      if (bytes > maxLineBytes) {
        throw new Error(`a line exceeds ${maxLineBytes} bytes`);
      }
      from = end + 1;
      if (at < 0) break;
      if (bytes > 0) yield Buffer.concat(pieces, bytes).toString('utf8');
      pieces = [];
      bytes = 0;
    }
  }
}
