import type {Row} from './part-result.js';
import {describeLabels, formatValue} from './table.js';

const labelWidth = 330;
const barWidth = 420;
const valueWidth = 110;
const rowHeight = 18;
const titleHeight = 34;
const barFill = '#4a78b5';
const limitStroke = '#b3261e';

/** What a plot shows. @internal */
export interface PlotOptions {
  readonly title: string;
  /** Value of each row that gives the length of its bar. */
  readonly value: string;
  /** Drawn as a vertical line. */
  readonly limit?: number;
}

/** Draws a horizontal bar for each row that has the value. @internal */
export function renderBars(rows: readonly Row[], options: PlotOptions): string {
  const {title, value, limit = 0} = options;
  const shown = rows.filter(row => row.values[value] !== undefined);
  const numbers = shown.map(row => row.values[value] ?? 0);
  const most = Math.max(limit, ...numbers, Number.MIN_VALUE);
  const toX = (n: number) =>
    (labelWidth + (Math.max(0, n) / most) * barWidth).toFixed(1);
  const height = titleHeight + shown.length * rowHeight + 10;
  const width = labelWidth + barWidth + valueWidth;
  const bars = shown.map((row, i) => {
    const y = titleHeight + i * rowHeight;
    const n = numbers[i] ?? 0;
    const length = (Number(toX(n)) - labelWidth).toFixed(1);
    return (
      `<text x="${labelWidth - 6}" y="${y + 12}" text-anchor="end">${describeLabels(row.labels)}</text>` +
      `<rect x="${labelWidth}" y="${y + 2}" width="${length}" height="13" fill="${barFill}"/>` +
      `<text x="${Number(toX(n)) + 4}" y="${y + 12}">${formatValue(n)}</text>`
    );
  });
  const line =
    limit > 0
      ? [
          `<line x1="${toX(limit)}" x2="${toX(limit)}" y1="${titleHeight - 6}" y2="${height - 6}" stroke="${limitStroke}"/>`,
        ]
      : [];
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="11">`,
    `<rect width="100%" height="100%" fill="white"/>`,
    `<text x="10" y="18" font-size="14">${title}</text>`,
    ...bars,
    ...line,
    '</svg>',
    '',
  ].join('\n');
}
