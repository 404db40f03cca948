import {CALL_OUTCOMES} from './call-outcome.js';
import type {CallOutcome} from './call-outcome.js';
import {cellKey, emptyCounts, mergeCrashes} from './evidence.js';
import type {Counts, CrashReport, Evidence, EvidenceCell} from './evidence.js';
import {latencyBin} from './latency-bins.js';
import type {MoveRecord} from './move-record.js';

/** Limits the memory for fingerprints of one move. */
const maxSuspects = 256;

/** Calls per second of one node and service at which the load level rises. */
const levelEdges = [4, 32, 256];

/**
 * Load level of a second, from the calls to both versions together. A level by
 * version would hide a fault that raises the load of its own version.
 *
 * @public
 */
export function loadLevel(callsPerSecond: number): number {
  return levelEdges.filter(edge => callsPerSecond >= edge).length;
}

/** Counts the call outcomes of one move between two flushes. @internal */
export class EvidenceRecorder {
  #cells = new Map<string, {from: Counts; to: Counts}>();
  #calls = 0;
  #step = 0;
  #crashes: CrashReport[] = [];
  #cleared = new Set<string>();
  readonly #suspects = new Set<string>();

  add(outcome: CallOutcome, record: MoveRecord): void {
    if (outcome.kind === CALL_OUTCOMES.ignored) return;
    const isNew = outcome.version === record.to;
    if (!isNew && outcome.version !== record.from) return;
    this.#startStep(record.step);
    if (outcome.kind === CALL_OUTCOMES.crashed) {
      this.#addCrash(outcome, isNew);
      return;
    }
    const cell = this.#cell(outcome.route);
    this.#calls += 1;
    this.#addCall(isNew ? cell.to : cell.from, outcome);
    if (!isNew && this.#suspects.has(outcome.fingerprint)) {
      this.#cleared.add(outcome.fingerprint);
    }
  }

  /**
   * Returns and resets the counts since the last call; null when there are
   * none.
   */
  take(record: MoveRecord): Evidence | null {
    if (this.#cells.size === 0 && this.#crashes.length === 0) return null;
    const level = loadLevel(this.#calls);
    const cells = [...this.#cells].map(([route, counts]): EvidenceCell => ({
      route,
      level,
      ...counts,
    }));
    const taken: Evidence = {
      moveId: record.moveId,
      step: this.#step,
      cells,
      crashes: mergeCrashes(this.#crashes),
      cleared: [...this.#cleared],
    };
    this.#reset();
    return taken;
  }

  /**
   * Drops the counts of the previous step, because calls at two shares are not
   * comparable.
   */
  #startStep(step: number): void {
    if (step === this.#step) return;
    this.#step = step;
    this.#cells.clear();
    this.#calls = 0;
  }

  #reset(): void {
    this.#cells = new Map();
    this.#calls = 0;
    this.#crashes = [];
    this.#cleared = new Set();
  }

  #cell(route: string): {from: Counts; to: Counts} {
    const cell = this.#cells.get(route) ?? {
      from: emptyCounts(),
      to: emptyCounts(),
    };
    this.#cells.set(route, cell);
    return cell;
  }

  #addCall(counts: Counts, outcome: CallOutcome): void {
    counts.calls += 1;
    if (outcome.kind === CALL_OUTCOMES.failed) {
      counts.failures += 1;
      return;
    }
    if (outcome.cold) return;
    const bin = latencyBin(outcome.latencyMs);
    counts.bins[bin] = (counts.bins[bin] ?? 0) + 1;
  }

  #addCrash(outcome: CallOutcome, isNew: boolean): void {
    const {fingerprint, route} = outcome;
    const crashId = outcome.crashId ?? cellKey(fingerprint, this.#step);
    if (this.#suspects.size < maxSuspects) this.#suspects.add(fingerprint);
    this.#crashes.push({crashId, route, isNew, fingerprints: [fingerprint]});
  }
}
