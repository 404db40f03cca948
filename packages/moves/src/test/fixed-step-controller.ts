import type {ControllerInput, ControllerOutput} from '../move-controller.js';
import {addCounts, emptyCounts} from '../evidence.js';
import type {Counts, Evidence} from '../evidence.js';
import {countFrom, latencyBinCount} from '../latency-bins.js';
import {applyPlan, startRecord, waitingRecord} from '../move-transitions.js';
import type {MovePlan} from '../move-transitions.js';
import type {MoveRecord} from '../move-record.js';
import type {MoveStop} from '../move-stop.js';

const shares = [0.05, 0.25, 0.5, 1];
const windowSeconds = 60;
/** With p99 over 20 calls, every good version is taken back. */
const minCalls = 100;
const maxFailureShare = 0.05;
const maxP95Factor = 2;

/**
 * Baseline of the trials: fixed steps of equal length, and fixed thresholds
 * over the last minute.
 *
 * @internal
 */
export class FixedStepController {
  #record: MoveRecord | null = null;
  #nth = -1;
  #stepAt = 0;
  #window: {from: Counts; to: Counts}[] = [];

  addEvidence(parts: readonly Evidence[]): void {
    const second = this.#window[0];
    if (!second) return;
    for (const cell of parts.flatMap(p => p.cells)) {
      addCounts(second.from, cell.from);
      addCounts(second.to, cell.to);
    }
  }

  addStops(): void {
    // Entry nodes run no local tests in the baseline.
  }

  tick(input: ControllerInput): Promise<ControllerOutput> {
    const plan = input.plans[0] as MovePlan;
    const stops: MoveStop[] = [];
    const records: MoveRecord[] = [];
    const before = this.#record;
    const reason = this.#fault();
    this.#window.unshift({from: emptyCounts(), to: emptyCounts()});
    this.#window.length = Math.min(this.#window.length, windowSeconds);
    this.#record = this.#next(plan, input, reason);
    if (this.#record !== before) records.push(this.#record);
    if (this.#record.state === 'takenBack' && before?.state === 'running') {
      stops.push({
        moveId: plan.moveId,
        step: this.#record.step,
        reason: this.#record.reason,
        decidedBy: 'baseline',
        decidedAt: input.wallTime,
      });
    }
    return Promise.resolve({holdsLease: true, records, stops});
  }

  #next(
    plan: MovePlan,
    input: ControllerInput,
    fault: string | null,
  ): MoveRecord {
    const {wallTime, now} = input;
    const stamp = {decidedBy: 'baseline', wallTime, operationId: String(now)};
    const record = this.#record ?? waitingRecord(plan, stamp);
    if (record.state === 'waiting') {
      return startRecord(record, 1, stamp) ?? record;
    }
    if (fault) {
      const takeBack = {kind: 'takeBack', reason: fault} as const;
      return applyPlan(record, takeBack, stamp) ?? record;
    }
    const stepMs = plan.deadlineAt / (shares.length + 1);
    if (this.#nth >= 0 && now - this.#stepAt < stepMs) return record;
    this.#nth += 1;
    this.#stepAt = now;
    const share = shares[this.#nth];
    const next =
      share === undefined
        ? ({kind: 'done', reason: 'last step held'} as const)
        : ({kind: 'setShare', share, reason: 'next step'} as const);
    return applyPlan(record, next, stamp) ?? record;
  }

  #fault(): string | null {
    const from = emptyCounts();
    const to = emptyCounts();
    for (const second of this.#window) {
      addCounts(from, second.from);
      addCounts(to, second.to);
    }
    if (to.calls < minCalls) return null;
    if (to.failures / to.calls > maxFailureShare) return 'failure share';
    const oldP95 = p95Bin(from);
    const binFactor = (60_000 / 0.5) ** (1 / (latencyBinCount - 2));
    const factor = binFactor ** (p95Bin(to) - oldP95);
    return oldP95 > 0 && factor > maxP95Factor ? 'p95 latency' : null;
  }
}

function p95Bin(counts: Counts): number {
  const calls = countFrom(counts.bins, 0);
  for (let bin = latencyBinCount - 1; bin > 0; bin--) {
    if (countFrom(counts.bins, bin) > calls * 0.05) return bin;
  }
  return 0;
}
