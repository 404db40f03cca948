import type {RandomSource} from '@verbenabeam/core';
import type {AdmissionDecision, AdmissionPolicy} from '../admission-types.js';
import {Deadline} from '../deadline.js';
import type {AdaptiveThrottle} from '../adaptive-throttle.js';
import {THROTTLE_OUTCOMES} from '../adaptive-throttle.js';
import type {CallerAttempt, RetryingCallers} from '../retrying-callers.js';

/** One kind of call in a simulated load. */
export interface CallKind {
  readonly route: string;
  readonly priority: number;
  readonly perSecond: number;
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  /** Whether a caller retries once after a refusal. */
  readonly retriesOnce?: boolean;
}

/** Results of the calls of one kind. */
export interface KindResult {
  asked: number;
  onTime: number;
  late: number;
  /** Refused at once. */
  refused: number;
  /** Refused after a wait of more than an eighth of the target. */
  refusedLate: number;
  /** Rejected by the throttle of an entry node. */
  throttled: number;
}

/** Load on one upstream. */
export interface SlotReplay {
  readonly kinds: readonly CallKind[];
  readonly slots: number;
  readonly seconds: number;
  /** Recognises retries of callers; without it they are treated as new calls. */
  readonly callers?: RetryingCallers;
  /** One throttle per entry node that the calls pass first. */
  readonly throttles?: readonly AdaptiveThrottle[];
}

interface Call {
  readonly id: string;
  readonly kind: CallKind;
  readonly at: number;
  /** Time of the first attempt. */
  readonly firstAt: number;
}

const msPerSecond = 1_000;
/** Service times vary by up to this share of their mean. */
const serviceSpread = 0.5;
const longWaitShare = 1 / 8;
/** Maximum delay before a retry, as a share of the remaining time. */
const maxRetryDelayShare = 1 / 3;
/** Network delay of a retry, in ms. */
const retryLinkMs = 8;
const retrySuffix = '-again';

/** Runs a load against one upstream in simulated time. */
export function replaySlots(
  policy: AdmissionPolicy,
  {kinds, seconds, callers, throttles}: SlotReplay,
  rng: RandomSource,
): ReadonlyMap<string, KindResult> {
  const results = new Map(kinds.map(({route}) => [route, emptyResult()]));
  const calls = new Map<string, Call>();
  const throttleOf = new Map<string, AdaptiveThrottle>();
  const ends: {at: number; id: string; startAt: number}[] = [];
  const arrivals = kinds
    .flatMap(kind => arrivalsOf(kind, seconds, rng))
    .sort((a, b) => a.at - b.at);
  const resultOf = (call: Call) =>
    results.get(call.kind.route) ?? emptyResult();
  const scheduleRetry = (call: Call, now: number, retryAfterMs: number) => {
    if (!call.kind.retriesOnce || call.at > call.firstAt) return;
    callers?.recordFailure(attemptOf(call), call.firstAt, now);
    const leftMs = call.firstAt + call.kind.deadlineMs - now;
    const requestedMs = retryAfterMs * (1 + rng.float());
    const delayMs = Math.min(requestedMs, leftMs * maxRetryDelayShare);
    const at = now + delayMs + retryLinkMs;
    const next = arrivals.findIndex(other => other.at > at);
    const retry = {...call, id: `${call.id}${retrySuffix}`, at};
    arrivals.splice(next < 0 ? arrivals.length : next, 0, retry);
  };
  const carryOut = (decisions: readonly AdmissionDecision[], now: number) => {
    for (const decision of decisions) {
      const call = calls.get(decision.callId);
      if (!call) continue;
      if (decision.kind === 'admitted') {
        const factor = 1 + serviceSpread * (2 * rng.float() - 1);
        const at = now + call.kind.workMs * factor;
        ends.push({at, id: call.id, startAt: now});
        ends.sort((a, b) => a.at - b.at);
      } else if (decision.kind === 'refused') {
        const waited = now - call.at;
        throttleOf
          .get(call.id)
          ?.recordOutcome(
            call.kind.route,
            THROTTLE_OUTCOMES.refused,
            now,
            decision.retryAfterMs,
          );
        if (waited > call.kind.targetMs * longWaitShare)
          resultOf(call).refusedLate++;
        else resultOf(call).refused++;
        scheduleRetry(call, now, decision.retryAfterMs ?? 0);
      }
    }
  };
  const advance = (until: number) => {
    for (;;) {
      const end = ends[0];
      const expiry = policy.nextExpiry ?? Infinity;
      const at = Math.min(end?.at ?? Infinity, expiry);
      if (at === Infinity || at > until) return;
      if (end && end.at <= expiry) {
        ends.shift();
        const call = calls.get(end.id);
        if (!call) continue;
        throttleOf
          .get(call.id)
          ?.recordOutcome(call.kind.route, THROTTLE_OUTCOMES.accepted, end.at);
        const tookMs = end.at - call.firstAt;
        if (tookMs <= call.kind.targetMs) resultOf(call).onTime++;
        else if (tookMs <= call.kind.deadlineMs) resultOf(call).late++;
        carryOut(policy.finish(end.id, end.at, end.at - end.startAt), end.at);
      } else {
        carryOut(policy.expire(expiry), expiry);
      }
    }
  };
  for (const call of arrivals) {
    advance(call.at);
    const {route, priority, targetMs, deadlineMs} = call.kind;
    calls.set(call.id, call);
    if (call.at === call.firstAt) resultOf(call).asked++;
    const throttle = throttles && rng.pick(throttles);
    const rejection = throttle?.rejectionFor(route, call.at) ?? null;
    if (rejection !== null) {
      resultOf(call).throttled++;
      scheduleRetry(call, call.at, rejection.retryAfterMs);
      continue;
    }
    if (throttle) throttleOf.set(call.id, throttle);
    const leftMs = call.firstAt + deadlineMs - call.at;
    const waited = callers?.msSinceFirstAttempt(attemptOf(call), call.at) ?? 0;
    const decision = policy.tryAdmit(
      {
        id: call.id,
        route,
        priority,
        targetAt: call.at + targetMs - waited,
        deadline: new Deadline(call.at + leftMs),
      },
      call.at,
    );
    carryOut([decision], call.at);
  }
  advance(Infinity);
  return results;
}

function arrivalsOf(
  kind: CallKind,
  seconds: number,
  rng: RandomSource,
): Call[] {
  const calls: Call[] = [];
  let at = 0;
  for (;;) {
    at += (-Math.log(1 - rng.float()) * msPerSecond) / kind.perSecond;
    if (at > seconds * msPerSecond) return calls;
    calls.push({id: `${kind.route}-${calls.length}`, kind, at, firstAt: at});
  }
}

function attemptOf({id, kind, firstAt}: Call): CallerAttempt {
  const key = id.replace(retrySuffix, '');
  return {key, endsAt: firstAt + kind.deadlineMs};
}

function emptyResult(): KindResult {
  return {
    asked: 0,
    onTime: 0,
    late: 0,
    refused: 0,
    refusedLate: 0,
    throttled: 0,
  };
}
