import {TARGETS} from '../bounds.js';
import {cell, NOT_MEASURED} from './cell.js';
import type {CapacityFigures} from './figures.js';
import type {FleetSize} from './fleet-size.js';

const partitions = 64;
const appendsPerSecond = 4;
const relaysPerCentre = 2;

/** One line of the table of roles. @public */
export interface RoleLine {
  readonly role: string;
  readonly state: string;
  readonly messages: string;
  readonly processor: string;
  readonly memory: string;
  readonly mechanism: string;
}

/** State, messages and cost of each role. @public */
export function roleLines(f: CapacityFigures, size: FleetSize): RoleLine[] {
  const {servers, dataCentres} = size;
  const callsText = `${cell(f.callsPerNode, 'calls/s')}`;
  return [
    {
      role: 'node',
      state: `${servers.toLocaleString('en-US')} instance records, one snapshot`,
      messages: `${cell(f.controlBytesPerSecond, 'B/s')} sent in all for control, ${cell(f.restBytes?.atSize ?? null, 'B/s')} of it at rest`,
      processor: `${cell(f.controlCorePercent, '% of a core')} for control`,
      memory: `${cell(f.memoryMb?.atSize ?? null, 'MB')} for the process`,
      mechanism: 'gossip: one probe a second, whatever the number of nodes',
    },
    {
      role: 'entry side',
      state: `${cell(f.callsInFlight, 'calls')} in flight, 10,000 call records`,
      messages: `${callsText} in, as many streams out`,
      processor: `${cell(f.entryCorePercent, '% of a core')}`,
      memory: `in the process; share ${NOT_MEASURED}`,
      mechanism: 'one parse, one stream per call',
    },
    {
      role: 'serving side',
      state: `${cell(f.callsInFlight, 'calls')} in flight, slots and queue of one upstream`,
      messages: `${callsText} to the own upstream`,
      processor: `${cell(f.servingCorePercent, '% of a core')}`,
      memory: `in the process; share ${NOT_MEASURED}`,
      mechanism: 'admission with slots and a queue bounded by time',
    },
    {
      role: 'relay',
      state: `one lease; ${relaysPerCentre * dataCentres} relays in all`,
      messages: `up to ${cell(f.relayBytesPerChange, 'B')} sent per change by the busiest node (delta), ${cell(f.relayFullBytesPerChange, 'B')} (full text)`,
      processor: `beyond a node: ${NOT_MEASURED}`,
      memory: `beyond a node: ${NOT_MEASURED}`,
      mechanism: 'push tree with 8 children per node',
    },
    {
      role: 'move controller',
      state: `at most one move per service, ${size.services} records`,
      messages: `at most 8 evidence messages a second by design; ${NOT_MEASURED}`,
      processor: NOT_MEASURED,
      memory: NOT_MEASURED,
      mechanism: 'evidence is merged at each level of the push tree',
    },
    {
      role: 'partition owner',
      state: `${partitions} partitions over ${servers.toLocaleString('en-US')} nodes`,
      messages: `at most ${partitions * appendsPerSecond} store writes a second in all by design; ${NOT_MEASURED}`,
      processor: NOT_MEASURED,
      memory: NOT_MEASURED,
      mechanism: 'batched segments, one append per partition and 250 ms',
    },
    {
      role: 'store',
      state: `head, versions of up to 1 MB, leases of ${relaysPerCentre * dataCentres} relays and one controller`,
      messages: `${cell(f.storeReadsPerSecond, 'reads/s')}, ${cell(f.storeWritesPerSecond, 'writes/s')}, without claims and moves`,
      processor: 'service of the platform',
      memory: 'service of the platform',
      mechanism: `2 relays per data centre watch; target ${TARGETS.storeReadsPerSecond.toLocaleString('en-US')} reads and ${TARGETS.storeWritesPerSecond} writes a second`,
    },
  ];
}
