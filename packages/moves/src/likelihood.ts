/**
 * Calls to both versions over the same seconds, and the number of them with an
 * event (a failure, or a latency over a threshold).
 *
 * @public
 */
export interface BinaryBlock {
  readonly oldCalls: number;
  readonly oldEvents: number;
  readonly newCalls: number;
  readonly newEvents: number;
}

/**
 * Calls to the new version, with a fixed event rate of the old one as
 * reference.
 *
 * @internal
 */
export interface ReferenceBlock {
  readonly calls: number;
  readonly events: number;
  readonly rate: number;
}

/**
 * Log likelihood ratio of two odds ratios for one block, conditional on the
 * number of events in both versions together (Fisher's noncentral
 * hypergeometric distribution). The condition cancels the event rate of the
 * service, so a fault of both versions in the same seconds is no evidence.
 *
 * @internal
 */
export function blockLogRatio(
  block: BinaryBlock,
  oddsRatio: number,
  tolerated: number,
): number {
  const events = block.oldEvents + block.newEvents;
  if (events === 0 || block.oldCalls === 0 || block.newCalls === 0) return 0;
  return logMass(block, events, oddsRatio) - logMass(block, events, tolerated);
}

/** Log probability of `newEvents`, without terms that no odds ratio changes. */
function logMass(block: BinaryBlock, events: number, ratio: number): number {
  const {oldCalls, newCalls, newEvents} = block;
  const low = Math.max(0, events - oldCalls);
  const high = Math.min(events, newCalls);
  const logOdds = Math.log(ratio);
  // Each term is relative to the first one. Scaling by `max` keeps the sum
  // within the range of floating-point numbers.
  let log = 0;
  let max = 0;
  let sum = 1;
  for (let k = low; k < high; k++) {
    const ways =
      ((newCalls - k) * (events - k)) / ((k + 1) * (oldCalls - events + k + 1));
    log += Math.log(ways) + logOdds;
    if (log > max) {
      sum = sum * Math.exp(max - log) + 1;
      max = log;
    } else {
      sum += Math.exp(log - max);
    }
  }
  return (newEvents - low) * logOdds - max - Math.log(sum);
}

/**
 * Additional odds ratio that is tolerated where the old version gets no calls.
 * A failure of the whole service then looks like a failure of the new version,
 * so only a large excess may stop the move.
 */
const referenceOddsRatio = 3;

/**
 * Maximum log ratio of one block. A burst of failures of the whole service
 * lasts some seconds. Without the cap, one burst at 157 calls/s takes back a
 * good version. A capped likelihood ratio still has a mean of at most 1.
 */
const maxReferenceLog = 3;

/**
 * Log likelihood ratio of two odds ratios relative to a fixed event rate.
 *
 * @internal
 */
export function referenceLogRatio(
  block: ReferenceBlock,
  oddsRatio: number,
  tolerated: number,
): number {
  const rate = shiftOdds(block.rate, referenceOddsRatio);
  const high = shiftOdds(rate, oddsRatio);
  const low = shiftOdds(rate, tolerated);
  const nonEvents = block.calls - block.events;
  const log =
    block.events * Math.log(high / low) +
    nonEvents * Math.log((1 - high) / (1 - low));
  return Math.min(maxReferenceLog, log);
}

function shiftOdds(rate: number, ratio: number): number {
  return (rate * ratio) / (1 - rate + rate * ratio);
}
