import {latencyBinCount} from './latency-bins.js';

/**
 * Counts of one version, route and load level over a period. The histogram
 * holds only successful calls to warm instances: a fast refusal is not a fast
 * answer, and a cold instance is slow in any version.
 *
 * @public
 */
export interface Counts {
  calls: number;
  failures: number;
  /** Calls per latency bin; trailing zeros may be missing. */
  bins: number[];
}

/** Counts of both versions over the same seconds. @public */
export interface EvidenceCell {
  readonly route: string;
  readonly level: number;
  readonly from: Counts;
  readonly to: Counts;
}

/**
 * Crash of an upstream process with calls in flight, reported by one entry
 * node. Reports of the same crash from several nodes are merged by `crashId`.
 *
 * @public
 */
export interface CrashReport {
  readonly crashId: string;
  readonly route: string;
  /** True when the instance ran the new version. */
  readonly isNew: boolean;
  /** Fingerprints of the requests that were in flight at the crash. */
  readonly fingerprints: readonly string[];
}

/**
 * The message `move.evidence`: counts of one step of a move, from one node or a
 * subtree of nodes, since its last message.
 *
 * @public
 */
export interface Evidence {
  readonly moveId: string;
  readonly step: number;
  readonly cells: readonly EvidenceCell[];
  readonly crashes: readonly CrashReport[];
  /**
   * Fingerprints of requests of a crash that the old version has answered
   * since.
   */
  readonly cleared: readonly string[];
}

/** Returns empty counts. @internal */
export function emptyCounts(): Counts {
  return {
    calls: 0,
    failures: 0,
    bins: new Array<number>(latencyBinCount).fill(0),
  };
}

/** Adds `part` to `sum`. @internal */
export function addCounts(sum: Counts, part: Counts): void {
  sum.calls += part.calls;
  sum.failures += part.failures;
  part.bins.forEach((count, bin) => {
    sum.bins[bin] = (sum.bins[bin] ?? 0) + count;
  });
}

/** Identifies a cell within a move. @internal */
export function cellKey(route: string, level: number): string {
  return `${String(level)} ${route}`;
}

/**
 * Merges evidence with the same move and step. The order of the parts is
 * irrelevant.
 *
 * @public
 */
export function mergeEvidence(parts: readonly Evidence[]): Evidence[] {
  const groups = new Map<string, Evidence[]>();
  for (const part of parts) {
    const key = `${String(part.step)} ${part.moveId}`;
    groups.set(key, [...(groups.get(key) ?? []), part]);
  }
  return [...groups.values()].map(mergeGroup);
}

function mergeGroup(parts: readonly Evidence[]): Evidence {
  const first = parts[0] as Evidence;
  return {
    moveId: first.moveId,
    step: first.step,
    cells: mergeCells(parts.flatMap(p => p.cells)),
    crashes: mergeCrashes(parts.flatMap(p => p.crashes)),
    cleared: [...new Set(parts.flatMap(p => p.cleared))],
  };
}

function mergeCells(cells: readonly EvidenceCell[]): EvidenceCell[] {
  const merged = new Map<string, EvidenceCell>();
  for (const {route, level, from, to} of cells) {
    const key = cellKey(route, level);
    const sum = merged.get(key) ?? {
      route,
      level,
      from: emptyCounts(),
      to: emptyCounts(),
    };
    merged.set(key, sum);
    addCounts(sum.from, from);
    addCounts(sum.to, to);
  }
  return [...merged.values()];
}

/** Merges the reports of each crash. @internal */
export function mergeCrashes(reports: readonly CrashReport[]): CrashReport[] {
  const merged = new Map<string, CrashReport>();
  for (const report of reports) {
    const known = merged.get(report.crashId);
    const all = [...(known?.fingerprints ?? []), ...report.fingerprints];
    merged.set(report.crashId, {
      ...report,
      fingerprints: [...new Set(all)],
    });
  }
  return [...merged.values()];
}
