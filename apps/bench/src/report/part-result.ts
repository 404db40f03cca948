/** One measured configuration. @public */
export interface Row {
  /** What distinguishes the row, for example nodes or calls per second. */
  readonly labels: Readonly<Record<string, string | number>>;
  /** Measured values; the unit is the suffix of the name. */
  readonly values: Readonly<Record<string, number>>;
  /** Load average of the machine over one minute at the end of the row. */
  readonly load: number;
}

/** Outcome of one bound on one row. @public */
export interface Check {
  readonly bound: string;
  readonly labels: Row['labels'];
  readonly value: number;
  readonly limit: number;
  readonly holds: boolean;
  readonly source: string;
}

/** Content of `bench-results/<part>.json`. @public */
export interface PartResult {
  readonly part: string;
  readonly measuredAt: string;
  readonly machine: Readonly<Record<string, string | number>>;
  readonly rows: readonly Row[];
  readonly checks: readonly Check[];
}
