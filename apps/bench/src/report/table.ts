import type {PartResult, Row} from './part-result.js';

/** Formats a value with at most four significant decimals. @internal */
export function formatValue(value: number): string {
  if (!Number.isFinite(value)) return String(value);
  if (Number.isInteger(value)) return String(value);
  return value.toFixed(Math.abs(value) < 10 ? 3 : 1);
}

/** Labels of a row as one text. @internal */
export function describeLabels(labels: Row['labels']): string {
  return Object.entries(labels)
    .map(([name, value]) => `${name}=${value}`)
    .join(' ');
}

/** One line for each row and each broken bound. @internal */
export function renderTable({part, rows, checks}: PartResult): string {
  const lines = rows.map(({labels, values, load}) => {
    const figures = Object.entries(values)
      .map(([name, value]) => `${name}=${formatValue(value)}`)
      .join(' ');
    return `${describeLabels(labels).padEnd(40)} ${figures} load=${load}`;
  });
  const broken = checks
    .filter(({holds}) => !holds)
    .map(
      check =>
        `BROKEN ${check.bound} (${describeLabels(check.labels)}): ` +
        `${formatValue(check.value)}, limit ${check.limit} (${check.source})`,
    );
  return [`== ${part}`, ...lines, ...broken, ''].join('\n');
}
