/** Limits that the platform sets on rollouts. @public */
export interface RolloutBounds {
  /** Share of the service's requests that a bad version may receive. */
  readonly canaryShare: number;
  /** Requests that a bad version may receive in addition to its share. */
  readonly canarySlack: number;
}

/** Progress of a rollout at one time. @public */
export interface RolloutProgress {
  /** Time since the rollout was ordered, in milliseconds. */
  readonly elapsedMs: number;
  readonly durationMs: number;
  /**
   * Requests sent to the new version and to the whole service since the order.
   */
  readonly sentFresh: number;
  readonly sent: number;
  /** Responses of the new version since the order. */
  readonly answeredFresh: number;
  /** Whether an instance of the new version is ready. */
  readonly isReady: boolean;
}

/**
 * Length of the final phase, in which all traffic shifts to the new version.
 */
const finishMs = 3_400;
/** Time before the end at which the rollout must be reported as done. */
const reserveMs = 1_000;
/** Steps of the final phase: time before the end, and share from then on. */
const steps: readonly (readonly [number, number])[] = [
  [finishMs, 0.2],
  [2_800, 0.5],
  [2_400, 1],
];
/** Fraction of the allowed requests that the plan uses. */
const usableFraction = 0.85;
/**
 * Cost of the final phase, in milliseconds of full traffic, reserved from the
 * canary share.
 */
const finishCostMs = 1_100;
const minCanaryShare = 0.015;
const maxCanaryShare = 0.05;
/** Responses of the new version that are needed before the share rises. */
const minAnswers = 12;

/** Share of the new version before the final phase of a rollout. @public */
export function canaryShare(
  {canaryShare: allowed}: RolloutBounds,
  durationMs: number,
): number {
  const canaryMs = Math.max(1, durationMs - finishMs);
  const share =
    (usableFraction * allowed * durationMs - finishCostMs) / canaryMs;
  return Math.min(maxCanaryShare, Math.max(minCanaryShare, share));
}

/**
 * Current share of the new version. It stays small until shortly before the
 * end, because a version may start to fail late. Then it rises in steps that
 * fit into the number of requests that a bad version may receive in the whole
 * rollout.
 *
 * @public
 */
export function plannedShare(
  bounds: RolloutBounds,
  progress: RolloutProgress,
): number {
  const {elapsedMs, durationMs, isReady, answeredFresh} = progress;
  if (!isReady) return 0;
  const canary = canaryShare(bounds, durationMs);
  if (answeredFresh < minAnswers) return canary;
  const leftMs = durationMs - elapsedMs;
  let share = canary;
  for (const [beforeEndMs, next] of steps) {
    if (leftMs <= beforeEndMs) share = next;
  }
  return share;
}

/**
 * Whether the rollout may be reported as done: either its end is near, or the
 * new version has received as many requests as a bad version may receive.
 *
 * @public
 */
export function mayFinish(
  {canaryShare: allowed, canarySlack}: RolloutBounds,
  {elapsedMs, durationMs, sent, sentFresh}: RolloutProgress,
): boolean {
  const leftMs = Math.max(0, durationMs - elapsedMs);
  if (leftMs <= reserveMs) return true;
  const expected = sent * (durationMs / Math.max(1, elapsedMs));
  return sentFresh >= usableFraction * (allowed * expected + canarySlack);
}
