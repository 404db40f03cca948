/** A value of a gauge with its labels. @internal */
export interface GaugeValue {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/** A gauge that is read when the metrics are collected. @internal */
export interface GaugeSource {
  readonly name: string;
  readonly help: string;
  readonly labelNames?: readonly string[];
  /** All values; labels that are not among them are no longer shown. */
  read(): readonly GaugeValue[];
}
