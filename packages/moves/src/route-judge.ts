import type {EvidenceCell} from './evidence.js';
import type {MovePolicy} from './move-policy.js';
import {MixtureTest} from './mixture-test.js';
import {Stratum} from './stratum.js';
import type {CellContext, SlowBlock} from './stratum.js';
import type {BinaryBlock} from './likelihood.js';

/** The strongest evidence on a route, with words for operators. @internal */
export interface Finding {
  readonly log: number;
  readonly text: string;
}

/** Tests one route: failures, and slowness over p90 and p99. @internal */
export class RouteJudge {
  readonly #failures: MixtureTest;
  readonly #overP90: MixtureTest;
  readonly #overP99: MixtureTest;
  readonly #strata = new Map<number, Stratum>();
  /** Sums for the text only. */
  readonly #failed = {oldCalls: 0, oldEvents: 0, newCalls: 0, newEvents: 0};
  readonly #slow = {oldCalls: 0, oldEvents: 0, newCalls: 0, newEvents: 0};
  #slowEdgeMs = 0;
  #lastLevel = 0;

  constructor(policy: MovePolicy) {
    this.#failures = new MixtureTest(policy.failureOddsRatio);
    this.#overP90 = new MixtureTest(policy.slowOddsRatio);
    this.#overP99 = new MixtureTest(policy.slowOddsRatio);
  }

  add(cell: EvidenceCell, context: CellContext): void {
    this.#lastLevel = cell.level;
    const closed = this.#stratum(cell.level).add(cell, context);
    if (!closed) return;
    addBlock(this.#failures, closed.failures, closed.failureRate);
    addTo(this.#failed, closed.failures);
    this.#addSlow(this.#overP90, closed.p90);
    this.#addSlow(this.#overP99, closed.p99);
    if (!closed.p90) return;
    addTo(this.#slow, closed.p90);
    this.#slowEdgeMs = closed.p90.edgeMs;
  }

  /** Adds a crash that is blamed on the version. */
  addCrash(isNew: boolean): void {
    this.#stratum(this.#lastLevel).addFailure(isNew);
  }

  finding(): Finding {
    const failures = this.#failures.logEvidence();
    // The mean of two supermartingales is one, so p90 and p99 share one test.
    const slowness = Math.log(
      (Math.exp(this.#overP90.logEvidence()) +
        Math.exp(this.#overP99.logEvidence())) /
        2,
    );
    return failures >= slowness
      ? {log: failures, text: describeFailures(this.#failed)}
      : {log: slowness, text: describeSlow(this.#slow, this.#slowEdgeMs)};
  }

  #addSlow(test: MixtureTest, block: SlowBlock | null): void {
    // At the full share no old call runs beside the new ones, and a slow hour
    // of the whole service looks like a slow version: with a test against the
    // past, 3 of 120 good moves of a noisy service were taken back in the soak.
    if (block && block.oldCalls > 0) test.add(block);
  }

  #stratum(level: number): Stratum {
    const known = this.#strata.get(level);
    if (known) return known;
    const stratum = new Stratum();
    this.#strata.set(level, stratum);
    return stratum;
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
    `took over ${edgeMs.toPrecision(3)} ms, ` +
    `${share(sums.oldEvents, sums.oldCalls)} to the old one`
  );
}

function share(events: number, calls: number): string {
  const percent = calls === 0 ? 0 : (events / calls) * 100;
  return `${percent.toFixed(1)}% (${String(events)} of ${String(calls)})`;
}
