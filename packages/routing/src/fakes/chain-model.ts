import {Deadline} from '../deadline.js';
import {
  DEFAULT_RETRIES,
  RetryBudget,
  retriesToReport,
} from '../retry-budget.js';
import {retriesAfter, RetryAllowances} from '../retry-allowances.js';

/** Limits that the nodes of the chain apply. */
export interface ChainSetup {
  readonly levels: number;
  readonly calls: number;
  /** Use a retry budget (token bucket) per service. */
  readonly budget: boolean;
  /** Pass the remaining retries with the call and report the unused ones back. */
  readonly propagateRetries: boolean;
}

/** Calls that reach the deepest service, per root call. */
export interface ChainFigures {
  readonly amplification: number;
  /** Retries at all levels, per root call. */
  readonly retriesPerCall: number;
}

const never = new Deadline(Infinity);

/**
 * Simulates a chain of services in which the deepest one runs and then fails every
 * call. Each level has its own entry node. No retry can succeed in this model.
 */
export function runChain(setup: ChainSetup): ChainFigures {
  const share = setup.budget ? 0.1 : Infinity;
  const burst = setup.budget ? 10 : Infinity;
  const nodes = Array.from({length: setup.levels}, () => ({
    budget: new RetryBudget({share, burst}),
    allowances: new RetryAllowances(),
  }));
  let deepest = 0;
  let retries = 0;

  /** Makes one call to the level below; returns its unused retries. */
  const call = (level: number, id: string): number => {
    const node = nodes[level];
    if (!node) throw new Error(`no node at level ${level}`);
    let left = setup.propagateRetries
      ? node.allowances.takeAll(id, DEFAULT_RETRIES)
      : DEFAULT_RETRIES;
    node.budget.recordCall(String(level));
    for (;;) {
      const reported = attempt(level + 1, id, left);
      if (setup.propagateRetries) left = retriesAfter(left, false, reported);
      const decision = node.budget.tryRetry(
        {
          service: String(level),
          retriesLeft: left,
          deadline: never,
          expectedMs: 0,
          notRun: false,
          idempotent: true,
          suspect: false,
        },
        0,
      );
      if (decision !== 'granted') {
        if (setup.propagateRetries) left = retriesToReport(decision, left);
        break;
      }
      left--;
      retries++;
    }
    if (setup.propagateRetries) node.allowances.returnUnused(id, left);
    return left;
  };
  const attempt = (level: number, id: string, passed: number): number => {
    if (level === setup.levels) {
      deepest++;
      return passed;
    }
    const allowances = nodes[level]?.allowances;
    allowances?.open(id, passed);
    call(level, id);
    return allowances?.close(id) ?? 0;
  };

  for (let i = 0; i < setup.calls; i++) call(0, String(i));
  return {
    amplification: deepest / setup.calls,
    retriesPerCall: retries / setup.calls,
  };
}
