import {addCounts, emptyCounts} from './evidence.js';
import type {Counts, EvidenceCell} from './evidence.js';
import {countFrom, lowerEdgeMs} from './latency-bins.js';
import type {BinaryBlock} from './likelihood.js';

/** Where and when a cell was counted. @internal */
export interface CellContext {
  readonly step: number;
  readonly share: number;
  readonly now: number;
}

/** Latencies over an edge. @internal */
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
 * A block closes at this many calls. Fewer calls per block would weaken the
 * comparison, because a block without an old and a new call says nothing.
 */
const blockCalls = 40;
/** A block of both versions also closes at this age. */
const blockMs = 20_000;
/** At the full share a block has no old calls and closes at this age. */
const fullBlockMs = 5_000;
/** Old calls before their distribution gives thresholds. */
const minReferenceCalls = 60;

/**
 * Evidence of one route and load level. It collects blocks whose end depends
 * on numbers of calls and on time only, never on outcomes, as the test needs.
 *
 * @internal
 */
export class Stratum {
  /** All calls of the old version in closed blocks. */
  readonly #past = emptyCounts();
  #old = emptyCounts();
  #new = emptyCounts();
  #since = 0;
  #step = -1;

  add(cell: EvidenceCell, context: CellContext): ClosedBlock | null {
    // Blocks over two shares would mix unlike seconds.
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
    // At the full share there is no old call to wait for.
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

  /** Threshold from past blocks only, so that it is fixed before the block. */
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

/** The bin edge whose share of calls above is closest to `rate` by ratio. */
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
 * only where no old calls run beside the new ones.
 */
function upperRate(events: number, calls: number): number | null {
  if (calls < minReferenceCalls) return null;
  const errors = 3;
  const bound = events + errors * Math.sqrt(events + 1) + errors;
  return Math.min(0.5, bound / calls);
}
