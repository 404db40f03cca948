import type {CallLog, CallRecord} from '../calls/index.js';
import type {DistributionService} from '../distribution/distribution-service.js';
import type {NodeMetrics} from '../metrics/node-metrics.js';
import type {MovesService} from '../moves/moves-service.js';
import type {CallEvidence} from './call-evidence.js';

/** Metric label for caller classes that the configuration does not define. */
const otherCallerClass = 'other';

/** Components that receive finished calls. @internal */
export interface FinishedCallObserverOptions {
  readonly calls: CallLog;
  readonly metrics: NodeMetrics;
  readonly moves: MovesService;
  readonly distribution: DistributionService;
  readonly evidence: CallEvidence;
}

/**
 * Passes each finished call to the call log, the moves and the metrics.
 *
 * @internal
 */
export class FinishedCallObserver {
  readonly #options: FinishedCallObserverOptions;

  constructor(options: FinishedCallObserverOptions) {
    this.#options = options;
  }

  onCall(record: CallRecord): void {
    const {calls, metrics, moves, evidence} = this.#options;
    calls.onCall(record);
    for (const outcome of evidence.outcomesOf(record)) moves.record(outcome);
    metrics.recordCall({
      callerClass: this.#callerClassLabel(record.callerClass),
      service: record.service ?? 'none',
      code: record.code.code,
      durationMs: record.durationMs,
      retries: Math.max(0, record.attempts.length - 1),
    });
  }

  /** Replaces undefined caller classes, which limits the number of labels. */
  #callerClassLabel(name: string): string {
    const {current} = this.#options.distribution.tracker;
    const known = current?.document.callerClasses;
    return known?.includes(name) ? name : otherCallerClass;
  }
}
