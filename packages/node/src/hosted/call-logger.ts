import {CALL_CODES, logger} from '@verbenabeam/core';
import type {ThrottleRejection} from '@verbenabeam/routing';
import {minServerErrorStatus} from '../calls/index.js';
import type {CallRecord} from '../calls/index.js';
import type {NodeMetrics} from '../metrics/node-metrics.js';

const log = logger('calls');

/** Counts each finished call and logs calls that failed or were retried. */
export class CallLogger {
  readonly #metrics: NodeMetrics;

  constructor(metrics: NodeMetrics) {
    this.#metrics = metrics;
  }

  onCall(record: CallRecord): void {
    const {attempts, code, service, callerClass, durationMs, turnedAway} =
      record;
    this.#metrics.recordCall({
      callerClass,
      service: service ?? 'none',
      code: code.code,
      durationMs,
      retries: Math.max(0, attempts.length - 1),
    });
    const isRoutine =
      code === CALL_CODES.ok &&
      attempts.length === 1 &&
      record.status < minServerErrorStatus;
    if (isRoutine) return;
    log('Call did not go as planned.', {
      requestId: record.callId,
      route: record.route,
      service,
      configVersion: record.configVersion,
      status: record.status,
      code: code.code,
      ...(turnedAway ? {turnedAway: describeThrottle(turnedAway)} : {}),
      ms: Math.round(durationMs),
      attempts: attempts.map(
        ({nodeId, version, outcome, code, atMs, latencyMs}) =>
          [
            nodeId,
            version,
            outcome,
            code,
            Math.round(atMs),
            Math.round(latencyMs),
          ].join(' '),
      ),
    });
  }
}

/** Weights of recent and of accepted calls, and the retry-after time sent. */
function describeThrottle({
  calls,
  accepted,
  retryAfterMs,
}: ThrottleRejection): string {
  const retryMs = Math.round(retryAfterMs);
  return `accepted ${accepted.toFixed(1)} of ${calls.toFixed(1)}, after ${retryMs} ms`;
}
