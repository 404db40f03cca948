import type {Check, Row} from './report/part-result.js';

/** A limit that the design page sets on a measured value. @public */
export interface Bound {
  readonly id: string;
  readonly part: string;
  /** Name of the value in a row. */
  readonly value: string;
  /** Labels that a row must have; other rows are not checked. */
  readonly where: Readonly<Record<string, string | number>>;
  readonly kind: 'atMost' | 'atLeast';
  readonly limit: number;
  /** Section of docs/design.md and its wording. */
  readonly source: string;
}

const bytesPerKb = 1_024;

/** Targets of docs/design.md that the capacity page uses too. @public */
export const TARGETS = {
  addedP99Ms: 0.69,
  controlCorePercent: 2.2,
  controlMemoryMb: 256,
  controlBytesPerSecond: 4 * bytesPerKb,
  storeReadsPerSecond: 2_000,
  /** The page says "several hundred"; 300 is its lowest reading. */
  storeWritesPerSecond: 300,
  convergenceP99Ms: 2_000,
  convergenceFullSizeMs: 10_000,
  goodputShare: 0.9,
  retryShare: 0.1,
  logPercent: 3,
} as const;

const overhead =
  '1.3: control overhead of at most 2.2% of a core, 256 MB, 4 KB/s';
const store = '1.4: several hundred writes and about 2,000 reads a second';

/** Every bound that a bench run checks. @public */
export const BOUNDS: readonly Bound[] = [
  {
    id: 'added-p99',
    part: 'call',
    value: 'addedP99Ms',
    where: {rate: 300},
    kind: 'atMost',
    limit: TARGETS.addedP99Ms,
    source: '1.3: at most 0.69 ms added for 99 in 100 calls, 308 calls/s',
  },
  {
    id: 'rest-bytes-sent',
    part: 'bytes',
    value: 'sentBytesPerSecond',
    where: {event: 'rest'},
    kind: 'atMost',
    limit: TARGETS.controlBytesPerSecond,
    source: overhead,
  },
  {
    id: 'rest-bytes-received',
    part: 'bytes',
    value: 'receivedBytesPerSecond',
    where: {event: 'rest'},
    kind: 'atMost',
    limit: TARGETS.controlBytesPerSecond,
    source: overhead,
  },
  {
    id: 'change-active',
    part: 'bytes',
    value: 'notActive',
    where: {},
    kind: 'atMost',
    limit: 0,
    source: 'P10: active on every proxy within 10 s',
  },
  {
    id: 'control-cpu',
    part: 'cost',
    value: 'corePercent',
    where: {measure: 'rest'},
    kind: 'atMost',
    limit: TARGETS.controlCorePercent,
    source: overhead,
  },
  {
    id: 'control-memory',
    part: 'cost',
    value: 'rssMb',
    where: {},
    kind: 'atMost',
    limit: TARGETS.controlMemoryMb,
    source: overhead,
  },
  {
    id: 'convergence-80',
    part: 'convergence',
    value: 'p99Ms',
    where: {nodes: 80},
    kind: 'atMost',
    limit: TARGETS.convergenceP99Ms,
    source: '1.2: p99 under 2 s at 80 nodes',
  },
  {
    id: 'convergence-complete',
    part: 'convergence',
    value: 'notConverged',
    where: {},
    kind: 'atMost',
    limit: 0,
    source: 'P10: active on every proxy within 10 s',
  },
  {
    id: 'store-reads',
    part: 'store',
    value: 'readsPerSecond',
    where: {},
    kind: 'atMost',
    limit: TARGETS.storeReadsPerSecond,
    source: store,
  },
  {
    id: 'store-writes',
    part: 'store',
    value: 'writesPerSecond',
    where: {},
    kind: 'atMost',
    limit: TARGETS.storeWritesPerSecond,
    source: store,
  },
  {
    id: 'goodput-at-twice',
    part: 'policy',
    value: 'goodputShare',
    where: {policy: 'admission'},
    kind: 'atLeast',
    limit: TARGETS.goodputShare,
    source: '1.2: goodput at twice the capacity is at least 90%',
  },
  {
    id: 'log-cpu',
    part: 'log',
    value: 'logPercent',
    where: {},
    kind: 'atMost',
    limit: TARGETS.logPercent,
    source: 'docs/OPERATIONS.md: the log takes at most 3% of a node’s time',
  },
];

/** Checks all rows of a part against its bounds. @public */
export function checkBounds(
  part: string,
  rows: readonly Row[],
  bounds: readonly Bound[] = BOUNDS,
): Check[] {
  return bounds
    .filter(bound => bound.part === part)
    .flatMap(bound => rows.flatMap(row => checkRow(bound, row)));
}

function checkRow(bound: Bound, row: Row): Check[] {
  const applies = Object.entries(bound.where).every(
    ([name, wanted]) => row.labels[name] === wanted,
  );
  const value = row.values[bound.value];
  if (!applies || value === undefined) return [];
  const {id, limit, source, kind} = bound;
  // A value that is not a number compares as false, so it breaks the bound.
  const holds = kind === 'atMost' ? value <= limit : value >= limit;
  return [{bound: id, labels: row.labels, value, limit, holds, source}];
}
