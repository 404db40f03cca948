/**
 * Parses a JSON text. Undefined for any other text, which the schema that gets
 * it reports.
 *
 * @public
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
