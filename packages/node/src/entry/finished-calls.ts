import type {CallLog, CallRecord} from '../calls/index.js';
import type {DistributionService} from '../distribution/distribution-service.js';
import type {NodeMetrics} from '../metrics/node-metrics.js';
import type {MovesService} from '../moves/moves-service.js';
import type {CallEvidence} from './call-evidence.js';

/** Caller class of every caller that the document does not name. */
const otherClass = 'other';

/** Parts that learn of finished calls. @internal */
export interface FinishedCallsOptions {
  readonly calls: CallLog;
  readonly metrics: NodeMetrics;
  readonly moves: MovesService;
  readonly distribution: DistributionService;
  readonly evidence: CallEvidence;
}

/** Passes each finished call to the log, the moves and the metrics. @internal */
export class FinishedCalls {
  readonly #options: FinishedCallsOptions;

  constructor(options: FinishedCallsOptions) {
    this.#options = options;
  }

  /** Takes the record of one call. */
  onCall(record: CallRecord): void {
    const {calls, metrics, moves, evidence} = this.#options;
    calls.onCall(record);
    for (const outcome of evidence.of(record)) moves.record(outcome);
    metrics.recordCall({
      callerClass: this.#callerClass(record.callerClass),
      service: record.service ?? 'none',
      code: record.code.code,
      durationMs: record.durationMs,
      retries: Math.max(0, record.attempts.length - 1),
    });
  }

  /** Bounds the number of labels. */
  #callerClass(name: string): string {
    const {current} = this.#options.distribution.tracker;
    const known = current?.document.callerClasses;
    return known?.includes(name) ? name : otherClass;
  }
}
