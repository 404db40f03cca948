import type {PartResult, Row} from '../report/part-result.js';
import {fitLine, reaches, valueAt} from './fit.js';

type Labels = Row['labels'];

/** Results by part; a part that was not run is absent. @public */
export type Results = Readonly<Record<string, PartResult | undefined>>;

/** A value as a function of the number of nodes. @public */
export interface Trend {
  readonly atSize: number;
  /** Change per additional node. */
  readonly perNode: number;
  /** Number of nodes at which the value reaches a limit. */
  readonly nodesAt: (limit: number) => number;
  /** Numbers of nodes that were measured. */
  readonly measuredNodes: readonly number[];
}

/** A trend with a constant on top. @internal */
export function raised(trend: Trend | null, by: number | null): Trend | null {
  if (trend === null || by === null) return null;
  return {
    ...trend,
    atSize: trend.atSize + by,
    nodesAt: limit => trend.nodesAt(limit - by),
  };
}

/** Reads measured figures; each is null if it was not measured. @public */
export class Measured {
  readonly #results: Results;

  constructor(results: Results) {
    this.#results = results;
  }

  /** Date of a part; null if it was not run. */
  dateOf(part: string): string | null {
    return this.#results[part]?.measuredAt ?? null;
  }

  /** Lowest and highest load average of the machine during a part. */
  loadOf(part: string): readonly [number, number] | null {
    const loads = this.#results[part]?.rows.map(row => row.load) ?? [];
    return loads.length > 0 ? [Math.min(...loads), Math.max(...loads)] : null;
  }

  /** Value of the last row with these labels. */
  value(part: string, labels: Labels, name: string): number | null {
    return this.#rows(part, labels).at(-1)?.values[name] ?? null;
  }

  /** Largest value of the rows with these labels. */
  largest(part: string, labels: Labels, name: string): number | null {
    const values = this.#values(part, labels, name);
    return values.length > 0 ? Math.max(...values) : null;
  }

  /** Smallest value of the rows with these labels. */
  smallest(part: string, labels: Labels, name: string): number | null {
    const values = this.#values(part, labels, name);
    return values.length > 0 ? Math.min(...values) : null;
  }

  /** Line through the values of the rows with these labels. */
  trend(
    part: string,
    labels: Labels,
    name: string,
    size: number,
  ): Trend | null {
    const points = this.#rows(part, labels).flatMap(row => {
      const nodes = Number(row.labels['nodes']);
      const value = row.values[name];
      return value === undefined ? [] : [[nodes, value] as const];
    });
    const line = fitLine(points);
    if (line === null) return null;
    const measuredNodes = points.map(([nodes]) => nodes);
    return {
      atSize: valueAt(line, size, Math.max(...measuredNodes)),
      perNode: line.slope,
      nodesAt: limit => reaches(line, limit),
      measuredNodes,
    };
  }

  #values(part: string, labels: Labels, name: string): readonly number[] {
    return this.#rows(part, labels).flatMap(row => row.values[name] ?? []);
  }

  #rows(part: string, labels: Labels): readonly Row[] {
    const wanted = Object.entries(labels);
    const rows = this.#results[part]?.rows ?? [];
    return rows.filter(row =>
      wanted.every(([name, value]) => row.labels[name] === value),
    );
  }
}
