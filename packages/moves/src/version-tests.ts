import type {BinaryBlock} from './likelihood.js';
import {MixtureTest} from './mixture-test.js';
import type {MovePolicy} from './move-policy.js';
import type {ClosedBlock, SlowBlock} from './stratum.js';

/**
 * The strongest evidence of a group of tests, with text for operators.
 *
 * @internal
 */
export interface Finding {
  readonly log: number;
  readonly text: string;
}

/**
 * Tests of the new version against the old one: failures, and latencies over
 * the old p90 and p99. Blocks of several routes may be added. Given the blocks
 * before it, each block has a likelihood ratio with mean 1, so the product over
 * all routes keeps the error rate.
 *
 * @internal
 */
export class VersionTests {
  readonly #usesPast: boolean;
  readonly #failures: MixtureTest;
  readonly #overP90: MixtureTest;
  readonly #overP99: MixtureTest;
  /** Sums that are used only in the text. */
  readonly #failed = {oldCalls: 0, oldEvents: 0, newCalls: 0, newEvents: 0};
  readonly #slow = {oldCalls: 0, oldEvents: 0, newCalls: 0, newEvents: 0};
  #slowEdgeMs = 0;
  #step = -1;

  /**
   * @param usesPast - Whether failures at the full share, where the old version
   *   gets no calls, are compared with past calls to the old version.
   */
  constructor(policy: MovePolicy, usesPast: boolean) {
    this.#usesPast = usesPast;
    this.#failures = new MixtureTest(policy.failureOddsRatio);
    this.#overP90 = new MixtureTest(policy.slowOddsRatio);
    this.#overP99 = new MixtureTest(policy.slowOddsRatio);
  }

  add(closed: ClosedBlock, step: number): void {
    const {oldCalls} = closed.failures;
    // At the full share the test compares with past calls, so a burst of
    // failures of the whole service looks like a fault of the new version. If
    // the tests restarted there, 1 of 10 good moves of a noisy service would be
    // taken back.
    if (step > this.#step && oldCalls > 0) this.#startStep(step);
    if (oldCalls > 0 || this.#usesPast) {
      addBlock(this.#failures, closed.failures, closed.failureRate);
    }
    addTo(this.#failed, closed.failures);
    this.#addSlow(this.#overP90, closed.p90);
    this.#addSlow(this.#overP99, closed.p99);
    if (!closed.p90) return;
    addTo(this.#slow, closed.p90);
    this.#slowEdgeMs = closed.p90.edgeMs;
  }

  finding(): Finding {
    const failures = this.#failures.logEvidence();
    // The mean of two supermartingales is a supermartingale, so p90 and p99
    // form one test.
    const slowness = Math.log(
      (Math.exp(this.#overP90.logEvidence()) +
        Math.exp(this.#overP99.logEvidence())) /
        2,
    );
    return failures >= slowness
      ? {log: failures, text: describeFailures(this.#failed)}
      : {log: slowness, text: describeSlow(this.#slow, this.#slowEdgeMs)};
  }

  /** Restarts the tests, because a fault under load may begin with any step. */
  #startStep(step: number): void {
    const isFirst = this.#step < 0;
    this.#step = step;
    if (isFirst) return;
    for (const test of [this.#failures, this.#overP90, this.#overP99]) {
      test.restart();
    }
  }

  #addSlow(test: MixtureTest, block: SlowBlock | null): void {
    // At the full share the old version gets no calls, and a slow hour of the
    // whole service looks like a slow version. A test against past calls takes
    // back 3 of 120 good moves of a noisy service in the soak time.
    if (block && block.oldCalls > 0) test.add(block);
  }
}

type Sums = {-readonly [K in keyof BinaryBlock]: number};

function addBlock(
  test: MixtureTest,
  block: BinaryBlock,
  referenceRate: number | null,
): void {
  if (block.oldCalls > 0) {
    test.add(block);
    return;
  }
  if (referenceRate === null) return;
  test.addAgainstReference(block.newCalls, block.newEvents, referenceRate);
}

function addTo(sums: Sums, block: BinaryBlock): void {
  sums.oldCalls += block.oldCalls;
  sums.oldEvents += block.oldEvents;
  sums.newCalls += block.newCalls;
  sums.newEvents += block.newEvents;
}

function describeFailures(sums: BinaryBlock): string {
  return (
    `${share(sums.newEvents, sums.newCalls)} of calls to the new version ` +
    `failed, ${share(sums.oldEvents, sums.oldCalls)} to the old one`
  );
}

function describeSlow(sums: BinaryBlock, edgeMs: number): string {
  return (
    `${share(sums.newEvents, sums.newCalls)} of calls to the new version ` +
    `took over the old p90 (last ${edgeMs.toPrecision(3)} ms), ` +
    `${share(sums.oldEvents, sums.oldCalls)} to the old one`
  );
}

function share(events: number, calls: number): string {
  const percent = calls === 0 ? 0 : (events / calls) * 100;
  return `${percent.toFixed(1)}% (${String(events)} of ${String(calls)})`;
}
