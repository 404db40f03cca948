import {scaleLinear} from 'd3-scale';
import {line} from 'd3-shape';
import type {Figures} from './emulation.js';
import type {WindowFigures} from './tally.js';

const width = 760;
const panelHeight = 190;
const margin = {left: 56, right: 120, top: 30, bottom: 26};
const tickCount = 5;

interface Series {
  readonly name: string;
  readonly colour: string;
  readonly value: (window: WindowFigures, spanS: number) => number;
}

interface Panel {
  readonly title: string;
  readonly series: readonly Series[];
}

const panels: readonly Panel[] = [
  {
    title: 'calls a second, by the time at which they began',
    series: [
      {name: 'asked', colour: '#888888', value: (w, s) => w.asked / s},
      {name: 'on time', colour: '#2e7d32', value: (w, s) => w.onTime / s},
      {name: 'late', colour: '#c77700', value: (w, s) => w.late / s},
      {name: 'refused', colour: '#b3261e', value: (w, s) => w.refused / s},
      {name: 'failed', colour: '#6a1b9a', value: (w, s) => w.failed / s},
    ],
  },
  {
    title: 'used share of slots and of the nodes’ processor time',
    series: [
      {name: 'slots', colour: '#4a78b5', value: w => w.slots},
      {name: 'processor', colour: '#b3261e', value: w => w.processor},
    ],
  },
];

/** Draws the time line of a run as SVG. @public */
export function plotFigures({day, seed, windows}: Figures): string {
  const height = panels.length * panelHeight;
  const spanS = (windows[1]?.fromS ?? 1) - (windows[0]?.fromS ?? 0);
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="11">`,
    '<rect width="100%" height="100%" fill="white"/>',
    ...panels.map((panel, i) =>
      drawPanel(panel, windows, spanS, i * panelHeight),
    ),
    `<text x="10" y="14" font-size="12">${escaped(day)}, seed ${seed}</text>`,
    '</svg>',
    '',
  ].join('\n');
}

function drawPanel(
  {title, series}: Panel,
  windows: readonly WindowFigures[],
  spanS: number,
  top: number,
): string {
  const values = series.flatMap(s => windows.map(w => s.value(w, spanS)));
  const lastS = (windows.at(-1)?.fromS ?? 0) + spanS;
  const x = scaleLinear([0, lastS], [margin.left, width - margin.right]);
  const y = scaleLinear(
    [0, Math.max(1, ...values)],
    [top + panelHeight - margin.bottom, top + margin.top],
  );
  const ticks = y.ticks(tickCount).map(tick => {
    const at = y(tick).toFixed(1);
    return (
      `<line x1="${margin.left}" x2="${width - margin.right}" y1="${at}" y2="${at}" stroke="#dddddd"/>` +
      `<text x="${margin.left - 6}" y="${Number(at) + 4}" text-anchor="end">${tick}</text>`
    );
  });
  const seconds = x
    .ticks(tickCount)
    .map(
      tick =>
        `<text x="${x(tick).toFixed(1)}" y="${top + panelHeight - 8}" text-anchor="middle">${tick} s</text>`,
    );
  const lines = series.map(({name, colour, value}, i) => {
    const path = line<WindowFigures>(
      w => x(w.fromS + spanS / 2),
      w => y(value(w, spanS)),
    ).digits(1)(windows);
    const labelY = top + margin.top + i * 16;
    return (
      `<path d="${path ?? ''}" fill="none" stroke="${colour}" stroke-width="1.5"/>` +
      `<text x="${width - margin.right + 8}" y="${labelY}" fill="${colour}">${name}</text>`
    );
  });
  const heading = `<text x="${margin.left}" y="${top + margin.top - 8}">${title}</text>`;
  return [heading, ...ticks, ...seconds, ...lines].join('\n');
}

function escaped(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}
