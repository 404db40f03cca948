/** One gauge value and its labels. @internal */
export interface GaugeValue {
  readonly labels: Readonly<Record<string, string>>;
  readonly value: number;
}

/**
 * A gauge whose values are read on each collection of the metrics.
 *
 * @internal
 */
export interface GaugeSource {
  readonly name: string;
  readonly help: string;
  readonly labelNames?: readonly string[];
  /**
   * Returns all values. Label sets that are missing are removed from the gauge.
   */
  read(): readonly GaugeValue[];
}
