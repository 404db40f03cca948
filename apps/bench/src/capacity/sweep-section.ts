import {cell, NOT_MEASURED, verdict} from './cell.js';
import type {Sweep, SweepFigure} from './sweep.js';
import {table} from './table.js';

/** What the smallest machines of the users' fleet have. */
const smallestMachine: Readonly<Record<string, number>> = {
  'memory MB': 250,
  'kB a second': 1_750,
  connections: 4_100,
};

function row({name, bySize, power, atTarget}: SweepFigure): string[] {
  const limit = smallestMachine[name];
  return [
    name,
    ...bySize.map(
      ([middle, most]) => `${cell(middle, '')} / ${cell(most, '')}`,
    ),
    cell(power, ''),
    cell(atTarget, ''),
    limit === undefined ? '' : cell(limit, ''),
    limit === undefined ? '' : verdict(atTarget, limit),
  ];
}

/**
 * Nodes at which the busiest node reaches the limit of the smallest machine, by
 * the power with which it grows.
 */
function nodesAtLimit(figure: SweepFigure, sizes: readonly number[]): number {
  const limit = smallestMachine[figure.name] ?? Infinity;
  const size = sizes.at(-1) ?? 0;
  const [, busiest] = figure.bySize.at(-1) ?? [0, 0];
  if (figure.power <= 0 || busiest <= 0) return Infinity;
  return size * (limit / busiest) ** (1 / figure.power);
}

/** Text of the section on a sweep of the deployed program. @public */
export function renderSweep(sweep: Sweep | null): string {
  if (!sweep) return `Sweep: ${NOT_MEASURED}.`;
  const {id, date, site, sizes, target, figures} = sweep;
  const [first] = figures
    .map(figure => ({
      name: figure.name,
      nodes: nodesAtLimit(figure, sizes),
    }))
    .sort((a, b) => a.nodes - b.nodes);
  const bound =
    first && Number.isFinite(first.nodes)
      ? `The first limit of the smallest machine on the way is ${first.name}, at ${cell(Math.floor(first.nodes), 'nodes')}.`
      : 'No limit of the smallest machine is reached.';
  return [
    `One day of ${site} at ${sizes.join(', ')} nodes (journal ${id}, ${date}): middle and busiest node, or middle and longest time. The last size is not played: the busiest node is carried on with the power of its growth, here from ${sizes.length} sizes. The smallest machine has 250 MB, a link of 14 Mbit/s and 4,100 descriptors.`,
    table(
      [
        'figure',
        ...sizes.map(size => `${size} nodes`),
        'power',
        `at ${cell(target, '')}`,
        'smallest machine',
        'result',
      ],
      figures.map(row),
    ),
    bound,
  ].join('\n\n');
}
