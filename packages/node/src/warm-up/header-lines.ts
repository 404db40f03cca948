/**
 * Formats a flat list of names and values as HTTP/1.1 header lines.
 *
 * @internal
 */
export function headerLines(headers: readonly string[]): string {
  let lines = '';
  for (let i = 0; i + 1 < headers.length; i += 2) {
    lines += `${headers[i]}: ${headers[i + 1]}\r\n`;
  }
  return lines;
}
