const columnGap = '  ';
const percent = 100;

/** Renders rows as left-aligned columns below their headings. */
export function table(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string[] {
  const all = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...all.map(row => (row[column] ?? '').length)),
  );
  return all.map(row =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(columnGap)
      .trimEnd(),
  );
}

/** Renders a time in milliseconds since the Unix epoch as ISO 8601. */
export function formatTime(at: number): string {
  return new Date(at).toISOString();
}

/** Renders a share between 0 and 1 as a percentage. */
export function formatShare(share: number): string {
  return `${(share * percent).toFixed(1)}%`;
}
