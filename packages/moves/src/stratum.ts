import {addCounts, emptyCounts} from './evidence.js';
import type {Counts, EvidenceCell} from './evidence.js';
import {countFrom, lowerEdgeMs} from './latency-bins.js';
import type {BinaryBlock} from './likelihood.js';

/** Step, share and time at which a cell was counted. @internal */
export interface CellContext {
  readonly step: number;
  readonly share: number;
  readonly now: number;
}

/** Calls of a block, with latencies over an edge as events. @internal */
export interface SlowBlock extends BinaryBlock {
  readonly edgeMs: number;
}

/** A closed block, ready for the tests. @internal */
export interface ClosedBlock {
  readonly failures: BinaryBlock;
  readonly failureRate: number | null;
  readonly p90: SlowBlock | null;
  readonly p99: SlowBlock | null;
}

/**
 * A block closes at this many calls. Smaller blocks weaken the comparison,
 * because a block without calls to both versions carries no evidence.
 */
const blockCalls = 40;
/** A block with calls to both versions also closes at this age. */
const blockMs = 20_000;
/**
 * At the full share, the old version gets no calls and a block closes at this
 * age.
 */
const fullBlockMs = 5_000;
/** Calls to the old version that are needed before thresholds are derived. */
const minReferenceCalls = 60;

/**
 * Evidence of one route and load level, grouped into blocks. The end of a block
 * depends only on time and numbers of calls, never on outcomes, because the
 * sequential test is valid only then.
 *
 * @internal
 */
export class Stratum {
  /** Calls to the old version in closed blocks. */
  readonly #past = emptyCounts();
  #old = emptyCounts();
  #new = emptyCounts();
  #since = 0;
  #step = -1;

  add(cell: EvidenceCell, context: CellContext): ClosedBlock | null {
    // A block over two shares would mix seconds that are not comparable.
    if (context.step !== this.#step) this.#restart(context);
    addCounts(this.#old, cell.from);
    addCounts(this.#new, cell.to);
    return this.#isComplete(context) ? this.#close(context) : null;
  }

  addFailure(isNew: boolean): void {
    const counts = isNew ? this.#new : this.#old;
    counts.calls += 1;
    counts.failures += 1;
  }

  #restart(context: CellContext): void {
    addCounts(this.#past, this.#old);
    this.#old = emptyCounts();
    this.#new = emptyCounts();
    this.#since = context.now;
    this.#step = context.step;
  }

  #isComplete({share, now}: CellContext): boolean {
    const oldCalls = this.#old.calls;
    const newCalls = this.#new.calls;
    if (newCalls === 0) return false;
    const age = now - this.#since;
    // At the full share, the old version gets no calls to wait for.
    if (oldCalls === 0) return share >= 1 && age >= fullBlockMs;
    return oldCalls + newCalls >= blockCalls || age >= blockMs;
  }

  #close(context: CellContext): ClosedBlock {
    const closed: ClosedBlock = {
      failures: {
        oldCalls: this.#old.calls,
        oldEvents: this.#old.failures,
        newCalls: this.#new.calls,
        newEvents: this.#new.failures,
      },
      failureRate: upperRate(this.#past.failures, this.#past.calls),
      p90: this.#slowBlock(0.1),
      p99: this.#slowBlock(0.01),
    };
    this.#restart(context);
    return closed;
  }

  /**
   * The threshold depends only on past blocks, so it is fixed before the block.
   */
  #slowBlock(quantileRate: number): SlowBlock | null {
    const edge = edgeNear(this.#past, quantileRate);
    if (edge === null) return null;
    return {
      oldCalls: countFrom(this.#old.bins, 0),
      oldEvents: countFrom(this.#old.bins, edge),
      newCalls: countFrom(this.#new.bins, 0),
      newEvents: countFrom(this.#new.bins, edge),
      edgeMs: lowerEdgeMs(edge),
    };
  }
}

/**
 * The bin edge for which the fraction of slower calls is closest to `rate`, as
 * a ratio.
 */
function edgeNear(past: Counts, rate: number): number | null {
  const calls = countFrom(past.bins, 0);
  if (calls < minReferenceCalls) return null;
  let best: number | null = null;
  let bestDistance = Infinity;
  let above = 0;
  for (let bin = past.bins.length - 1; bin > 0; bin--) {
    above += past.bins[bin] ?? 0;
    if (above === 0 || above === calls) continue;
    const distance = Math.abs(Math.log(above / calls / rate));
    if (distance >= bestDistance) continue;
    best = bin;
    bestDistance = distance;
  }
  return best;
}

/**
 * Upper bound of a rate, about three standard errors above the estimate. Used
 * only where the old version gets no calls.
 */
function upperRate(events: number, calls: number): number | null {
  if (calls < minReferenceCalls) return null;
  const errors = 3;
  const bound = events + errors * Math.sqrt(events + 1) + errors;
  return Math.min(0.5, bound / calls);
}
