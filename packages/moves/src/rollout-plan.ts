/** Bounds of the platform on rollouts. @public */
export interface RolloutBounds {
  /** Share of the service's requests that a bad version may get. */
  readonly canaryShare: number;
  /** Requests that a bad version may get beyond its share. */
  readonly canarySlack: number;
}

/** What the plan depends on at one moment. @public */
export interface RolloutProgress {
  /** Time since the order, in milliseconds. */
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Requests sent to the new version, and to the service, since the order. */
  readonly sentFresh: number;
  readonly sent: number;
  /** Answers of the new version since the order. */
  readonly answeredFresh: number;
  /** Whether an instance of the new version is ready. */
  readonly isReady: boolean;
}

/** Time before the end in which the whole traffic moves. */
const finishMs = 3_400;
/** Time before the end at which the order must be reported as done. */
const reserveMs = 1_000;
/** Steps of the last part: time before the end, and share from then on. */
const steps: readonly (readonly [number, number])[] = [
  [finishMs, 0.2],
  [2_800, 0.5],
  [2_400, 1],
];
/** Part of the allowed requests that the plan uses. */
const usedShare = 0.85;
/** Full traffic for the last part, in milliseconds, that the canary leaves. */
const finishCostMs = 1_100;
const leastCanary = 0.015;
const mostCanary = 0.05;
/** Answers of the new version without which nothing is known about it. */
const minAnswers = 12;

/** Share of the new version before the last part of a rollout. @public */
export function canaryShare(
  {canaryShare: allowed}: RolloutBounds,
  durationMs: number,
): number {
  const canaryMs = Math.max(1, durationMs - finishMs);
  const share = (usedShare * allowed * durationMs - finishCostMs) / canaryMs;
  return Math.min(mostCanary, Math.max(leastCanary, share));
}

/**
 * Share of the new version now. It stays small until shortly before the end,
 * because a version may turn bad late; then it rises in steps, as long as the
 * requests that a bad version may get in the whole time are not used up.
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
 * Whether the move may be reported as done: it must be soon over, or the new
 * version has had as many requests as a bad one may get.
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
  return sentFresh >= usedShare * (allowed * expected + canarySlack);
}
