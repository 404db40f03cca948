import {TARGETS} from '../bounds.js';
import type {FleetSize} from './fleet-size.js';
import {raised} from './measured.js';
import type {Measured, Trend} from './measured.js';

const secondsPerDay = 86_400;
const msPerSecond = 1_000;
const percent = 100;
const measuredRate = 300;
const smallBody = 1_024;
/** Document that is in force while instances join and leave. */
const churnDocumentBytes = 10_000;

/** Sum that is unknown as soon as one term is. */
function sum(...terms: readonly (number | null)[]): number | null {
  return terms.reduce<number | null>(
    (total, term) => (total === null || term === null ? null : total + term),
    0,
  );
}

function times(value: number | null, factor: number): number | null {
  return value === null ? null : value * factor;
}

/** Figures at one fleet size; null means that one was not measured. @public */
export interface CapacityFigures {
  readonly callsPerNode: number;
  readonly restBytes: Trend | null;
  /** The same from the model of gossip, which runs no processes. */
  readonly restBytesModel: Trend | null;
  readonly changeBytesPerSecond: number | null;
  readonly churnBytesPerSecond: number | null;
  readonly controlBytesPerSecond: number | null;
  readonly restCorePercent: Trend | null;
  readonly changeCorePercent: number | null;
  readonly controlCorePercent: number | null;
  /** Heap as it grows with the fleet, and the rest of the process. */
  readonly memoryMb: Trend | null;
  readonly entryCorePercent: number | null;
  readonly servingCorePercent: number | null;
  readonly addedP99Ms: number | null;
  readonly addedP99ChangesMs: number | null;
  readonly callsInFlight: number | null;
  readonly convergenceP99Ms: Trend | null;
  readonly relayBytesPerChange: number | null;
  readonly relayFullBytesPerChange: number | null;
  readonly storeReads: Trend | null;
  readonly storeWrites: Trend | null;
  readonly storeReadsPerSecond: number | null;
  readonly storeWritesPerSecond: number | null;
  readonly readsPerRestart: number | null;
  readonly writesPerRestart: number | null;
  readonly joinBytes: number | null;
  readonly leaveBytes: number | null;
  readonly fullBytes: number | null;
  readonly deltaBytes: number | null;
}

function larger(a: number | null, b: number | null): number | null {
  if (a === null || b === null) return a ?? b;
  return Math.max(a, b);
}

/**
 * The resident set varies by tens of MB between equal processes, because V8
 * grows its heap in large steps. Only the used heap follows the fleet.
 */
function memoryOf(measured: Measured, servers: number): Trend | null {
  const labels = {measure: 'rest'};
  const heap = measured.trend('cost', labels, 'heapMb', servers);
  const rss = measured.largest('cost', labels, 'rssMb');
  const least = measured.smallest('cost', labels, 'heapMb');
  return raised(heap, rss === null || least === null ? null : rss - least);
}

/** Computes the figures of a fleet size from measured slopes. @public */
export function computeFigures(
  measured: Measured,
  size: FleetSize,
): CapacityFigures {
  const {servers, documentBytes} = size;
  const changesPerSecond = size.changesPerDay / secondsPerDay;
  const restartsPerSecond =
    (size.restartsPerDay + size.failuresPerDay) / secondsPerDay;
  const callsPerNode = size.callsPerSecond / servers;
  const bytes = (event: string, name: string, of: number) =>
    measured.trend('bytes', {event, documentBytes: of}, name, servers);
  // A change reaches each node once, whatever their number.
  const eventBytes = (event: string, of: number, name = 'sentBytes') =>
    measured.largest('bytes', {event, documentBytes: of}, name);
  const model = (name: string) =>
    measured.trend('bytes', {model: 'gossip'}, name, servers);
  // The model reaches larger fleets than the processes do.
  const churnBytes = (event: string, name: string) =>
    larger(eventBytes(event, churnDocumentBytes), model(name)?.atSize ?? null);
  const call = (during: string, name: string) =>
    measured.value(
      'call',
      {rate: measuredRate, bytes: smallBody, during},
      name,
    );
  const corePercent = (cpuMs: number | null) =>
    times(cpuMs, (callsPerNode / msPerSecond) * percent);
  const store = (event: string, name: string) =>
    measured.trend('store', {event}, name, servers);

  const restBytes = bytes('rest', 'sentBytesPerSecond', 0);
  const deltaBytes = eventBytes('delta', documentBytes);
  const joinBytes = churnBytes('join', 'joinBytes');
  const leaveBytes = churnBytes('leave', 'leaveBytes');
  const changeBytesPerSecond = times(deltaBytes, changesPerSecond);
  const churnBytesPerSecond = times(
    sum(joinBytes, leaveBytes),
    restartsPerSecond,
  );
  const restCorePercent = measured.trend(
    'cost',
    {measure: 'rest'},
    'corePercent',
    servers,
  );
  const cpuMsPerChange = measured.value(
    'cost',
    {measure: 'change', services: size.services, documentBytes},
    'cpuMsPerChange',
  );
  const changeCorePercent = times(
    cpuMsPerChange,
    (changesPerSecond / msPerSecond) * percent,
  );
  const storeReads = store('rest', 'readsPerSecond');
  const storeWrites = store('rest', 'writesPerSecond');
  const readsPerRestart = store('restart', 'readsPerRestart')?.atSize ?? null;
  const writesPerRestart = store('restart', 'writesPerRestart')?.atSize ?? null;
  return {
    callsPerNode,
    restBytes,
    restBytesModel: model('restBytesPerSecond'),
    changeBytesPerSecond,
    churnBytesPerSecond,
    controlBytesPerSecond: sum(
      restBytes?.atSize ?? null,
      changeBytesPerSecond,
      churnBytesPerSecond,
    ),
    restCorePercent,
    changeCorePercent,
    controlCorePercent: sum(restCorePercent?.atSize ?? null, changeCorePercent),
    memoryMb: memoryOf(measured, servers),
    entryCorePercent: corePercent(call('quiet', 'entryCpuMsPerCall')),
    servingCorePercent: corePercent(call('quiet', 'servingCpuMsPerCall')),
    addedP99Ms: call('quiet', 'addedP99Ms'),
    addedP99ChangesMs: call('changes', 'addedP99Ms'),
    callsInFlight: times(
      call('quiet', 'meshP50Ms'),
      callsPerNode / msPerSecond,
    ),
    convergenceP99Ms: measured.trend(
      'convergence',
      {scenario: 'quiet'},
      'p99Ms',
      servers,
    ),
    relayBytesPerChange: eventBytes('delta', documentBytes, 'mostSentBytes'),
    relayFullBytesPerChange: eventBytes('full', documentBytes, 'mostSentBytes'),
    storeReads,
    storeWrites,
    storeReadsPerSecond: sum(
      storeReads?.atSize ?? null,
      times(
        store('change', 'readsPerChange')?.atSize ?? null,
        changesPerSecond,
      ),
      times(readsPerRestart, restartsPerSecond),
    ),
    storeWritesPerSecond: sum(
      storeWrites?.atSize ?? null,
      times(
        store('change', 'writesPerChange')?.atSize ?? null,
        changesPerSecond,
      ),
      times(writesPerRestart, restartsPerSecond),
    ),
    readsPerRestart,
    writesPerRestart,
    joinBytes,
    leaveBytes,
    fullBytes: eventBytes('full', documentBytes),
    deltaBytes,
  };
}

/** A limit of the fleet and the number of nodes that reaches it. @public */
export interface FleetLimit {
  readonly name: string;
  readonly nodes: number | null;
}

/** Limits with their number of nodes, the lowest first, unknown last. @public */
export function fleetLimits(figures: CapacityFigures): FleetLimit[] {
  const limit = (name: string, trend: Trend | null, target: number) => ({
    name,
    nodes: trend === null ? null : trend.nodesAt(target),
  });
  return [
    limit(
      'control bytes at rest, 4 KB/s',
      figures.restBytes,
      TARGETS.controlBytesPerSecond,
    ),
    limit(
      'control processor time at rest, 2.2% of a core',
      figures.restCorePercent,
      TARGETS.controlCorePercent,
    ),
    limit(
      'memory of a node, 256 MB',
      figures.memoryMb,
      TARGETS.controlMemoryMb,
    ),
    limit(
      'store reads at rest, 2,000 a second',
      figures.storeReads,
      TARGETS.storeReadsPerSecond,
    ),
    limit(
      'store writes at rest, 300 a second',
      figures.storeWrites,
      TARGETS.storeWritesPerSecond,
    ),
    limit(
      'convergence p99, 10 s',
      figures.convergenceP99Ms,
      TARGETS.convergenceFullSizeMs,
    ),
  ].sort((a, b) => (a.nodes ?? Infinity) - (b.nodes ?? Infinity));
}
