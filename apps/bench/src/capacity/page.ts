import {TARGETS} from '../bounds.js';
import {cell, NOT_MEASURED, verdict} from './cell.js';
import {fleetLimits} from './figures.js';
import type {CapacityFigures, FleetLimit} from './figures.js';
import type {FleetSize} from './fleet-size.js';
import {lostCentre, lostRack, splitRegions} from './losses.js';
import type {Measured} from './measured.js';
import {roleLines} from './roles.js';
import type {Sweep} from './sweep.js';
import {renderSweep} from './sweep-section.js';
import {table} from './table.js';

const growth = 10;
const parts = [
  'call',
  'bytes',
  'cost',
  'convergence',
  'store',
  'policy',
  'claims',
];

function targetTable(f: CapacityFigures): string {
  const line = (
    name: string,
    value: number | null,
    target: number,
    unit: string,
  ) => [name, cell(value, unit), cell(target, unit), verdict(value, target)];
  return table(
    ['figure', 'computed', 'target', 'result'],
    [
      line(
        'added to a call at p99, 300 calls/s, 1 KB (measured)',
        f.addedP99Ms,
        TARGETS.addedP99Ms,
        'ms',
      ),
      line(
        'the same during changes (measured)',
        f.addedP99ChangesMs,
        TARGETS.addedP99Ms,
        'ms',
      ),
      line(
        'control processor time per node',
        f.controlCorePercent,
        TARGETS.controlCorePercent,
        '% of a core',
      ),
      line(
        'memory per node',
        f.memoryMb?.atSize ?? null,
        TARGETS.controlMemoryMb,
        'MB',
      ),
      line(
        'control bytes sent per node',
        f.controlBytesPerSecond,
        TARGETS.controlBytesPerSecond,
        'B/s',
      ),
      line(
        'control bytes sent per node at rest, by the gossip model',
        f.restBytesModel?.atSize ?? null,
        TARGETS.controlBytesPerSecond,
        'B/s',
      ),
      line(
        'store reads',
        f.storeReadsPerSecond,
        TARGETS.storeReadsPerSecond,
        'per s',
      ),
      line(
        'store writes',
        f.storeWritesPerSecond,
        TARGETS.storeWritesPerSecond,
        'per s',
      ),
      line(
        'convergence p99',
        f.convergenceP99Ms?.atSize ?? null,
        TARGETS.convergenceFullSizeMs,
        'ms',
      ),
    ],
  );
}

function slopeTable(f: CapacityFigures): string {
  const rows = [
    ['control bytes at rest, B/s', f.restBytes],
    ['control bytes at rest, gossip model, B/s', f.restBytesModel],
    ['control processor time at rest, % of a core', f.restCorePercent],
    ['memory of a node, MB', f.memoryMb],
    ['store reads at rest, per s', f.storeReads],
    ['store writes at rest, per s', f.storeWrites],
    ['convergence p99, ms', f.convergenceP99Ms],
  ] as const;
  return table(
    ['figure', 'slope per 100 nodes', 'measured at'],
    rows.map(([name, trend]) => [
      name,
      cell(trend === null ? null : trend.perNode * 100, ''),
      trend === null ? NOT_MEASURED : `${trend.measuredNodes.join(', ')} nodes`,
    ]),
  );
}

function firstLimit(limits: readonly FleetLimit[], size: FleetSize): string {
  const most = size.servers * growth;
  const [first] = limits;
  const unknown = limits.filter(({nodes}) => nodes === null);
  const parts: string[] = [];
  if (!first || first.nodes === null) parts.push('No limit was measured.');
  else if (first.nodes <= most) {
    parts.push(
      `The first limit that the measured slopes reach on the way to ${most.toLocaleString('en-US')} nodes is ${first.name}, at ${cell(Math.floor(first.nodes), 'nodes')}.`,
    );
  } else {
    parts.push(
      `No measured slope reaches its limit up to ${most.toLocaleString('en-US')} nodes.`,
    );
  }
  if (unknown.length > 0) {
    const names = unknown.map(({name}) => name).join('; ');
    parts.push(`Not measured: ${names}.`);
  }
  return parts.join(' ');
}

function sources(measured: Measured): string {
  return table(
    ['part', 'measured', 'load average of the machine'],
    parts.map(part => {
      const load = measured.loadOf(part);
      const date = measured.dateOf(part) ?? NOT_MEASURED;
      return [part, date, load === null ? '' : `${load[0]} to ${load[1]}`];
    }),
  );
}

/** Renders docs/CAPACITY.md. @public */
export function renderPage(
  measured: Measured,
  f: CapacityFigures,
  size: FleetSize,
  sweep: Sweep | null,
): string {
  const limits = fleetLimits(f);
  return (
    [
      '# Capacity',
      'Written by `npm run capacity` from `bench-results/*.json` and the sweeps in `journal/`; do not edit. Figures at full size are computed from slopes that were measured on one machine over loopback, with at most 80 nodes; they are extrapolations. A line through fewer than four sizes, or through sizes under 40 nodes, mostly carries noise to the full size; the table of slopes shows which. Bytes of a change are the largest that was measured at any size, those of a joining or leaving node the larger of that and of the gossip model at full size. Memory is the used heap, which follows the number of nodes, and the largest rest of a process. Bytes and processor time at rest are measured when the traffic of a fleet no longer falls after its start. "not measured" means that no run has produced the figure.',
      `Size: ${size.servers.toLocaleString('en-US')} servers, ${size.services} services, ${size.callsPerSecond.toLocaleString('en-US')} calls/s (${cell(f.callsPerNode, '')} per node), ${size.dataCentres} data centres, ${size.changesPerDay.toLocaleString('en-US')} changes and ${size.restartsPerDay + size.failuresPerDay} restarts a day. A document of ${cell(size.documentBytes, 'B')} is assumed.`,
      '## The deployed program, by a sweep',
      renderSweep(sweep),
      'The figures below are those of the native product; where both name one, the sweep is what is deployed.',
      '## Targets',
      targetTable(f),
      'Control bytes are those between nodes, in the direction "sent"; calls to the store and announcements of upstreams are not in them. What nodes tell each other about the revision of the store is in them. Claims and moves are in none of the figures.',
      '## Roles',
      table(
        ['role', 'state', 'messages', 'processor time', 'memory', 'carried by'],
        roleLines(f, size).map(line => [
          line.role,
          line.state,
          line.messages,
          line.processor,
          line.memory,
          line.mechanism,
        ]),
      ),
      '## Slopes',
      slopeTable(f),
      '## Tenfold growth',
      firstLimit(limits, size),
      table(
        ['limit', 'reached at'],
        limits.map(({name, nodes}) => [
          name,
          cell(nodes === null ? null : Math.floor(nodes), 'nodes'),
        ]),
      ),
      '## A lost rack',
      lostRack(f, size),
      '## A lost data centre',
      lostCentre(f, size),
      '## An hour between the regions',
      splitRegions(f, size),
      '## Sources',
      sources(measured),
      '',
    ]
      .join('\n\n')
      .trimEnd() + '\n'
  );
}
