import {addCounts, cellKey, emptyCounts} from './evidence.js';
import type {Counts, EvidenceCell} from './evidence.js';
import {ReferenceRates} from './reference-rates.js';
import type {Events} from './reference-rates.js';
import {ScoreHistory} from './score-history.js';
import {controlShare} from './share-schedule.js';

/**
 * A window closes when it has reached both this age and this number of calls.
 */
const windowMs = 5_000;
const windowCalls = 100;

/**
 * After this number of consecutive unusual windows below 100%, the reference
 * rates are dropped. The tests compare the old version over the same seconds,
 * so the whole service has changed.
 */
const maxUnusualWindows = 6;

/** Minimum ratio of observed to expected events in an unusual window. */
const minRatio = 2;

/** Names of the event kinds in texts for operators. */
const eventNames: Readonly<Record<keyof Events, string>> = {
  failures: 'failures',
  slow: 'slow calls',
};

const eventKinds = ['failures', 'slow'] as const;

interface Window {
  readonly kind: keyof Events;
  readonly seen: number;
  readonly expected: number;
  readonly score: number;
}

interface Cell {
  readonly counts: Counts;
  readonly rates: ReferenceRates;
}

/**
 * Detects that a service behaves differently at 100%, where the old version
 * gets no calls to compare with. It compares each window with earlier calls on
 * the same route and load level, below 100%. The spread of earlier windows is
 * the noise of the service. The whole service may have changed, so a change
 * alone is no verdict on the version.
 *
 * @internal
 */
export class ChangeDetector {
  readonly #cells = new Map<string, Cell>();
  #history = newHistory();
  #calls = 0;
  #since: number | null = null;
  #change: string | null = null;
  #isUsual = false;
  #isUnusual = false;
  #unusualRun = 0;

  /** Adds evidence that was counted at `share`. */
  add(cells: readonly EvidenceCell[], share: number, now: number): void {
    this.#since ??= now;
    for (const {route, level, from, to} of cells) {
      const {counts} = this.#cell(cellKey(route, level));
      addCounts(counts, from);
      addCounts(counts, to);
      this.#calls += from.calls + to.calls;
    }
    const isComplete =
      now - this.#since >= windowMs && this.#calls >= windowCalls;
    if (isComplete) this.#close(share);
  }

  /** Starts a new window, because calls at two shares are not comparable. */
  startStep(): void {
    this.#startWindow();
    this.#change = null;
    this.#isUsual = false;
    this.#isUnusual = false;
  }

  /** Text of the change since the last step; null if there is none. */
  change(): string | null {
    return this.#change;
  }

  /**
   * True when the latest window since the last step was like the earlier ones.
   */
  isUsual(): boolean {
    return this.#isUsual;
  }

  /** True when the latest window was unusual, at the control share or above. */
  isUnusual(): boolean {
    return this.#isUnusual;
  }

  #close(share: number): void {
    const windows = this.#windows();
    const unusual = windows.filter(
      ({kind, seen, expected, score}) =>
        seen >= minRatio * expected && this.#history[kind].isUnusual(score),
    );
    const isKnown = windows.some(w => this.#history[w.kind].isKnown);
    this.#isUsual = isKnown && unusual.length === 0;
    this.#isUnusual = unusual.length > 0 && share >= controlShare;
    if (share >= 1) this.#onFullWindow(unusual[0]);
    else this.#onEarlierWindow(windows);
    this.#startWindow();
  }

  #onFullWindow(unusual: Window | undefined): void {
    if (unusual) this.#change ??= describe(unusual);
  }

  #onEarlierWindow(windows: readonly Window[]): void {
    // Below the control share, all windows count as noise of the service. From
    // there on, unusual windows are left out, because a fault of the new
    // version
    // would otherwise become part of the reference.
    if (this.#isUnusual) {
      this.#unusualRun += 1;
      if (this.#unusualRun >= maxUnusualWindows) this.#resetReferences();
      return;
    }
    this.#unusualRun = 0;
    for (const {kind, score} of windows) this.#history[kind].add(score);
    for (const {counts, rates} of this.#cells.values()) rates.add(counts);
  }

  /**
   * Current window, by kind of event; empty until reference rates are known.
   */
  #windows(): Window[] {
    const known = [...this.#cells.values()].filter(c => c.rates.isKnown);
    if (known.length === 0) return [];
    const seen = {failures: 0, slow: 0};
    const expected = {failures: 0, slow: 0};
    for (const {counts, rates} of known) {
      addEvents(seen, rates.seen(counts));
      addEvents(expected, rates.expected(counts));
    }
    return eventKinds.map(kind => ({
      kind,
      seen: seen[kind],
      expected: expected[kind],
      score: scoreOf(seen[kind], expected[kind]),
    }));
  }

  #resetReferences(): void {
    this.#cells.clear();
    this.#history = newHistory();
    this.#unusualRun = 0;
  }

  #startWindow(): void {
    for (const [key, {rates}] of this.#cells) {
      this.#cells.set(key, {counts: emptyCounts(), rates});
    }
    this.#calls = 0;
    this.#since = null;
  }

  #cell(key: string): Cell {
    const cell = this.#cells.get(key) ?? {
      counts: emptyCounts(),
      rates: new ReferenceRates(),
    };
    this.#cells.set(key, cell);
    return cell;
  }
}

function addEvents(sum: Events, part: Events): void {
  sum.failures += part.failures;
  sum.slow += part.slow;
}

/**
 * Excess of events over the expected number. The square root makes the variance
 * almost independent of the count. The logarithm of the ratio needs several
 * windows to detect an error rate of 20% at 20 to 60 calls/s.
 */
function scoreOf(seen: number, expected: number): number {
  return Math.sqrt(seen) - Math.sqrt(expected);
}

function describe({kind, seen, expected}: Window): string {
  return (
    `${String(seen)} ${eventNames[kind]} in a window at 100% where ` +
    `${expected.toFixed(1)} were expected`
  );
}

function newHistory(): Readonly<Record<keyof Events, ScoreHistory>> {
  return {failures: new ScoreHistory(), slow: new ScoreHistory()};
}
