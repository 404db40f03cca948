/** A part of this size is parsed and checked in about 5 ms. */
const partCharacters = 32_768;
/** A line that may be a table header. */
const headerLine = /(?:^|\n)[ \t]*\[[^\n]*/g;
/** Headers whose tables do not depend on the tables before them. */
const independent =
  /^\[(?:\[(?:routes|moves)\]|policy|callers|services\.[A-Za-z0-9][\w-]*)\][ \t]*(?:#.*)?\r?$/;

/**
 * Splits a document at table headers into parts that can be parsed one by one.
 * The first part ends before the first header. Returns the whole text as one
 * part if it is small or has a header that depends on others.
 *
 * A line within a string or an array may look like a header. A part that ends
 * there does not parse, so the caller then parses the whole text.
 *
 * @internal
 */
export function splitText(text: string): readonly string[] {
  if (text.length <= partCharacters) return [text];
  const parts: string[] = [];
  let startAt = 0;
  for (const match of text.matchAll(headerLine)) {
    const isAfterLine = match[0].startsWith('\n');
    const line = isAfterLine ? match[0].slice(1) : match[0];
    if (!independent.test(line)) return [text];
    const headerAt = match.index + Number(isAfterLine);
    const isFirst = parts.length === 0;
    if (!isFirst && headerAt - startAt < partCharacters) continue;
    parts.push(text.slice(startAt, headerAt));
    startAt = headerAt;
  }
  return [...parts, text.slice(startAt)];
}
