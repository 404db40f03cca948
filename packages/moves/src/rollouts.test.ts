import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {RolloutEvidence} from './rollout-evidence.js';
import {analyzeRollout} from './rollout-analysis.js';
import {mayFinish, plannedShare} from './rollout-plan.js';

const bounds = {canaryShare: 0.1, canarySlack: 50};
const tickMs = 250;
const msPerSecond = 1_000;

let evidence: RolloutEvidence;
let sentFresh = 0;
let sent = 0;
let finishedMs: number | null = null;
let lengthMs = 0;

function addAnswers(
  route: string,
  isFresh: boolean,
  count: number,
  bad: number,
  ms: number,
): void {
  for (let i = 0; i < count; i++) {
    evidence.add({route, isNew: isFresh, isBad: i < bad, ms});
  }
}

When(
  'a rollout counts {int} new responses with {int} bad in {int} ms and {int} old responses with {int} bad in {int} ms',
  (
    fresh: number,
    bad: number,
    ms: number,
    old: number,
    oldBad: number,
    oldMs: number,
  ) => {
    evidence = new RolloutEvidence();
    addAnswers('read', true, fresh, bad, ms);
    addAnswers('read', false, old, oldBad, oldMs);
  },
);

When(
  'a rollout has {int} good new responses on one route and {int} bad of {int} on another',
  (good: number, bad: number, count: number) => {
    evidence = new RolloutEvidence();
    addAnswers('read', true, good, 0, 60);
    addAnswers('pay', true, count, bad, 60);
    addAnswers('read', false, 400, 2, 60);
    addAnswers('pay', false, 400, 2, 60);
  },
);

Then('the rollout finding is {string}', (expected: string) => {
  assert.equal(analyzeRollout(evidence)?.fault ?? 'none', expected);
});

When(
  'a rollout of {int} s with {int} calls a second runs to its end',
  (seconds: number, rate: number) => {
    lengthMs = seconds * msPerSecond;
    sent = 0;
    sentFresh = 0;
    finishedMs = null;
    const perTick = (rate * tickMs) / msPerSecond;
    for (let elapsedMs = 0; elapsedMs < lengthMs; elapsedMs += tickMs) {
      const progress = {
        elapsedMs,
        durationMs: lengthMs,
        sentFresh,
        sent,
        answeredFresh: sentFresh,
        isReady: true,
      };
      const share = plannedShare(bounds, progress);
      if (share === 1 && mayFinish(bounds, progress)) {
        finishedMs = elapsedMs;
        return;
      }
      sent += perTick;
      sentFresh += perTick * share;
    }
  },
);

Then(
  'the new version got at most {float} of the calls and {int} before the rollout could finish',
  (share: number, slack: number) => {
    // The limit refers to the calls of the whole rollout, not only to those so
    // far.
    const expected = (sent * lengthMs) / (finishedMs ?? lengthMs);
    assert.ok(
      sentFresh <= share * expected + slack,
      `${sentFresh} of ${expected}`,
    );
  },
);

Then('the rollout could finish before its end', () => {
  assert.ok(finishedMs !== null && finishedMs < lengthMs);
});
