import {cell} from './cell.js';
import type {CapacityFigures} from './figures.js';
import type {FleetSize} from './fleet-size.js';

const percent = 100;
const hoursPerDay = 24;
const suspicionFloorS = 3;
const bytesPerMb = 1_000_000;

function share(part: number, whole: number): string {
  return cell((part / whole) * percent, '%');
}

function scaled(value: number | null, factor: number): number | null {
  return value === null ? null : value * factor;
}

/** Suspicion time of section 3.5, in seconds. */
function suspicionSeconds(nodes: number): number {
  return Math.max(suspicionFloorS, Math.log2(nodes) * 0.5 * 1.5);
}

/** Paragraph on the loss of a rack. @public */
export function lostRack(f: CapacityFigures, size: FleetSize): string {
  const {rackServers, servers} = size;
  const left = servers - rackServers;
  return (
    `About ${rackServers} nodes, ${share(rackServers, servers)} of the fleet, end together. ` +
    `Up to ${cell(scaled(f.callsInFlight, rackServers), 'calls')} in flight on them end as "may have run". ` +
    `They are ejected at the first failures and dead after ${cell(suspicionSeconds(servers), 's')} of suspicion (from the formula of the design). ` +
    `The others take ${cell(size.callsPerSecond / left, 'calls/s')} each instead of ${cell(f.callsPerNode, 'calls/s')}. ` +
    `The records of their end cost each node ${cell(scaled(f.leaveBytes, rackServers), 'B')} and their return ${cell(scaled(f.joinBytes, rackServers), 'B')}; ` +
    `the return makes ${cell(scaled(f.readsPerRestart, rackServers), 'store reads')} and ${cell(scaled(f.writesPerRestart, rackServers), 'store writes')}.`
  );
}

/** Paragraph on the loss of a data centre. @public */
export function lostCentre(f: CapacityFigures, size: FleetSize): string {
  const nodes = Math.round(size.servers / size.dataCentres);
  const left = size.servers - nodes;
  const rise = size.servers / left;
  return (
    `${nodes} nodes, ${share(nodes, size.servers)} of the fleet, and two relays end together; the relays of the other data centres are unaffected. ` +
    `The others take ${cell(size.callsPerSecond / left, 'calls/s')} each, ` +
    `which takes ${cell(scaled(f.entryCorePercent, rise), '% of a core')} on the entry side and ${cell(scaled(f.servingCorePercent, rise), '% of a core')} on the serving side. ` +
    `Up to ${cell(scaled(f.callsInFlight, nodes), 'calls')} in flight end as "may have run". ` +
    `The return costs each node ${cell(scaled(f.joinBytes, nodes), 'B')} of records, and ${cell(scaled(f.fullBytes, nodes / bytesPerMb), 'MB')} of full texts in all (a document of ${cell(size.documentBytes, 'B')}). ` +
    `It makes ${cell(scaled(f.readsPerRestart, nodes), 'store reads')} and ${cell(scaled(f.writesPerRestart, nodes), 'store writes')}; within one second the reads would be ${cell(scaled(f.readsPerRestart, nodes / 2_000), 'times')} the store's rate.`
  );
}

/** Paragraph on an hour between regions. @public */
export function splitRegions(f: CapacityFigures, size: FleetSize): string {
  const missed = size.changesPerDay / hoursPerDay;
  const half = Math.round(size.servers / 2);
  return (
    `The side without the store serves its last version; at ${size.changesPerDay.toLocaleString('en-US')} changes a day it misses ${cell(missed, 'changes')} in the hour. ` +
    `On reunion its ${half} nodes (regions of equal size are assumed) pull the highest version: ${cell(scaled(f.fullBytes, half / bytesPerMb), 'MB')} in all with the full text of ${cell(size.documentBytes, 'B')}, ` +
    `or ${cell(scaled(f.deltaBytes, half / bytesPerMb), 'MB')} where a delta is enough. ` +
    `Each side has marked the other dead, so each node takes ${cell(scaled(f.joinBytes, half), 'B')} of records again. ` +
    `Claims and submits on the side without the store are refused as not run for the hour. The time until both sides agree is not measured.`
  );
}
