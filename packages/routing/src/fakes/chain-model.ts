import {Deadline} from '../deadline.js';
import {
  DEFAULT_RETRIES,
  RetryBudget,
  retriesToReport,
} from '../retry-budget.js';
import {retriesAfter, RetryAllowances} from '../retry-allowances.js';

/** Which limits the nodes of the chain apply. */
export interface ChainSetup {
  readonly levels: number;
  readonly calls: number;
  /** Token bucket per service. */
  readonly budget: boolean;
  /** Retries travel with the call and come back with the answer. */
  readonly travelling: boolean;
}

/** Calls that reached the deepest service per call at the top. */
export interface ChainFigures {
  readonly amplification: number;
  /** Attempts at all levels beyond the first of each call, per root call. */
  readonly retriesPerCall: number;
}

const never = new Deadline(Infinity);

/**
 * Chain of services whose deepest one fails each call after running it. Each
 * level has its own entry node. All retries are wasted in this model.
 */
export function runChain(setup: ChainSetup): ChainFigures {
  const share = setup.budget ? 0.1 : Infinity;
  const burst = setup.budget ? 10 : Infinity;
  const nodes = Array.from({length: setup.levels}, () => ({
    budget: new RetryBudget({share, burst}),
    ledger: new RetryAllowances(),
  }));
  let deepest = 0;
  let retries = 0;

  /** One call from the level above; returns its unused retries. */
  const call = (level: number, id: string): number => {
    const node = nodes[level];
    if (!node) throw new Error(`no node at level ${level}`);
    let left = setup.travelling
      ? node.ledger.takeAll(id, DEFAULT_RETRIES)
      : DEFAULT_RETRIES;
    node.budget.recordCall(String(level));
    for (;;) {
      const reported = attempt(level + 1, id, left);
      if (setup.travelling) left = retriesAfter(left, false, reported);
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
        if (setup.travelling) left = retriesToReport(decision, left);
        break;
      }
      left--;
      retries++;
    }
    if (setup.travelling) node.ledger.returnUnused(id, left);
    return left;
  };
  const attempt = (level: number, id: string, passed: number): number => {
    if (level === setup.levels) {
      deepest++;
      return passed;
    }
    const ledger = nodes[level]?.ledger;
    ledger?.open(id, passed);
    call(level, id);
    return ledger?.close(id) ?? 0;
  };

  for (let i = 0; i < setup.calls; i++) call(0, String(i));
  return {
    amplification: deepest / setup.calls,
    retriesPerCall: retries / setup.calls,
  };
}
