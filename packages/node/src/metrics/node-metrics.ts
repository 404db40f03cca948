import {
  Counter,
  Gauge,
  Histogram,
  Registry,
  collectDefaultMetrics,
} from 'prom-client';
import type {ResultCode} from '@verbenabeam/core';
import type {ByteCounts} from '@verbenabeam/wire';
import type {GaugeSource} from './gauge-source.js';

/** Upper bounds of the call histograms, in seconds. */
const callBucketsSeconds = [
  0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5,
  10,
];
/** Upper bounds of the convergence histogram, in seconds. */
const convergenceBucketsSeconds = [0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60];
const msPerSecond = 1_000;
/**
 * Sampling interval of the event-loop delay. The default of 10 ms wakes an idle
 * node 100 times per second, which takes about 1% of a CPU core.
 */
const eventLoopPrecisionMs = 1_000;

/** Metric values of one finished call. @public */
export interface CallSample {
  readonly callerClass: string;
  readonly service: string;
  readonly code: number;
  readonly durationMs: number;
  /** Number of attempts after the first. */
  readonly retries: number;
}

/** Values that the gauges read on each collection of the metrics. @public */
export interface MetricSources {
  readonly configVersion: () => number;
  /** Number of members by state. */
  readonly members: () => Readonly<Record<string, number>>;
  readonly bytes: () => ByteCounts;
  /** Bytes of control messages sent, by kind of message. */
  readonly sentByKind: () => Readonly<Record<string, number>>;
  readonly inFlight: () => number;
  /** Additional gauges; default none. */
  readonly gauges?: readonly GaugeSource[];
}

/** The time series that a call belongs to. */
interface CallSeries {
  readonly durations: Histogram.Internal<'caller_class' | 'service'>;
  readonly results: Counter.Internal;
  readonly retries: Counter.Internal;
}

/** The Prometheus metrics of one node. @public */
export class NodeMetrics {
  readonly #registry = new Registry();
  readonly #calls = new Histogram({
    name: 'verbenabeam_call_duration_seconds',
    help: 'Time from the request head to the end of the answer.',
    labelNames: ['caller_class', 'service'],
    buckets: callBucketsSeconds,
    registers: [this.#registry],
  });
  readonly #results = new Counter({
    name: 'verbenabeam_calls_total',
    help: 'Calls by result code.',
    labelNames: ['caller_class', 'service', 'code'],
    registers: [this.#registry],
  });
  readonly #retries = new Counter({
    name: 'verbenabeam_retries_total',
    help: 'Attempts beyond the first.',
    labelNames: ['service'],
    registers: [this.#registry],
  });
  readonly #convergence = new Histogram({
    name: 'verbenabeam_convergence_seconds',
    help: 'Time from acceptance of a version to its activation here.',
    buckets: convergenceBucketsSeconds,
    registers: [this.#registry],
  });
  readonly #broken = new Counter({
    name: 'verbenabeam_invariant_broken_total',
    help: 'Broken invariants by code.',
    labelNames: ['code'],
    registers: [this.#registry],
  });
  readonly #unexpectedErrors = new Counter({
    name: 'verbenabeam_unexpected_errors_total',
    help: 'Errors that no handler has caught.',
    registers: [this.#registry],
  });
  readonly #storeCalls = new Counter({
    name: 'verbenabeam_store_calls_total',
    help: 'Calls to the store by role.',
    labelNames: ['role'],
    registers: [this.#registry],
  });

  readonly #storeOutcomes = new Counter({
    name: 'verbenabeam_store_outcomes_total',
    help: 'Ended calls to the store by role and result code; 0 for success.',
    labelNames: ['role', 'code'],
    registers: [this.#registry],
  });

  readonly #series = new Map<string, CallSeries>();

  constructor(sources: MetricSources) {
    collectDefaultMetrics({
      register: this.#registry,
      prefix: 'verbenabeam_',
      eventLoopMonitoringPrecision: eventLoopPrecisionMs,
    });
    this.#addGauges(sources);
  }

  recordCall(sample: CallSample): void {
    const {durations, results, retries} = this.#seriesOf(sample);
    durations.observe(sample.durationMs / msPerSecond);
    results.inc();
    if (sample.retries > 0) retries.inc(sample.retries);
  }

  /** Looks up labels once for each series; a look-up costs more than the update. */
  #seriesOf({callerClass, service, code}: CallSample): CallSeries {
    const key = `${callerClass}\n${service}\n${code}`;
    const known = this.#series.get(key);
    if (known) return known;
    const series = {
      durations: this.#calls.labels(callerClass, service),
      results: this.#results.labels(callerClass, service, String(code)),
      retries: this.#retries.labels(service),
    };
    this.#series.set(key, series);
    return series;
  }

  /** @param delayMs - Time from acceptance to activation on this node. */
  recordConvergence(delayMs: number): void {
    this.#convergence.observe(delayMs / msPerSecond);
  }

  recordBrokenInvariant(code: ResultCode): void {
    this.#broken.labels(String(code.code)).inc();
  }

  recordUnexpectedError(): void {
    this.#unexpectedErrors.inc();
  }

  recordStoreCall(role: string): void {
    this.#storeCalls.labels(role).inc();
  }

  /**
   * @param code - Result code of the error; undefined for a successful call.
   */
  recordStoreOutcome(role: string, code?: ResultCode): void {
    this.#storeOutcomes.labels(role, String(code?.code ?? 0)).inc();
  }

  get contentType(): string {
    return this.#registry.contentType;
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.#registry.metrics();
  }

  #addGauges(sources: MetricSources): void {
    for (const {name, help, labelNames = [], read} of sources.gauges ?? []) {
      this.#gauge(name, help, [...labelNames], gauge => {
        gauge.reset();
        for (const {labels, value} of read()) gauge.set({...labels}, value);
      });
    }
    this.#gauge(
      'verbenabeam_config_version',
      'Active configuration version.',
      [],
      gauge => {
        gauge.set(sources.configVersion());
      },
    );
    this.#gauge(
      'verbenabeam_calls_in_flight',
      'Calls that run on the own upstream.',
      [],
      gauge => {
        gauge.set(sources.inFlight());
      },
    );
    this.#gauge(
      'verbenabeam_members',
      'Known nodes by state.',
      ['state'],
      gauge => {
        gauge.reset();
        for (const [state, count] of Object.entries(sources.members())) {
          gauge.set({state}, count);
        }
      },
    );
    this.#gauge(
      'verbenabeam_wire_bytes',
      'Bytes between nodes since the start, by class and direction.',
      ['class', 'direction'],
      gauge => {
        for (const [name, counts] of Object.entries(sources.bytes())) {
          gauge.set({class: name, direction: 'sent'}, counts.sent);
          gauge.set({class: name, direction: 'received'}, counts.received);
        }
      },
    );
    this.#gauge(
      'verbenabeam_control_sent_bytes',
      'Control bytes sent to nodes since the start, by kind of message.',
      ['kind'],
      gauge => {
        for (const [kind, bytes] of Object.entries(sources.sentByKind())) {
          gauge.set({kind}, bytes);
        }
      },
    );
  }

  #gauge(
    name: string,
    help: string,
    labelNames: string[],
    update: (gauge: Gauge) => void,
  ): void {
    new Gauge({
      name,
      help,
      labelNames,
      registers: [this.#registry],
      collect() {
        update(this);
      },
    });
  }
}
