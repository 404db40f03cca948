import {addCounts, cellKey, emptyCounts} from './evidence.js';
import type {Counts, EvidenceCell} from './evidence.js';
import {ReferenceRates} from './reference-rates.js';
import type {Events} from './reference-rates.js';
import {ScoreHistory} from './score-history.js';
import {controlShare} from './share-pace.js';

/** A window closes at this age and number of calls. */
const windowMs = 5_000;
const windowCalls = 100;

/**
 * Unusual windows in a row below 100% from which the service is taken to
 * be different now. The old version was compared over the same seconds.
 */
const maxUnusual = 6;

/** Events in an unusual window, in multiples of the expected ones. */
const leastRatio = 2;

/** Words for operators, by the kind of event. */
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
 * Notices that a service behaves differently at 100%, where no old call runs
 * beside the new ones. It compares windows with the calls before the full share
 * of the same route and load level, and takes the spread of earlier windows as
 * the noise of the service. A change may come from the whole service, so it is
 * no verdict on the version.
 *
 * @internal
 */
export class ChangeWatch {
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

  /** Begins a new window, because calls of two shares do not compare. */
  startStep(): void {
    this.#clear();
    this.#change = null;
    this.#isUsual = false;
    this.#isUnusual = false;
  }

  /** What changed since the last step; null for nothing. */
  change(): string | null {
    return this.#change;
  }

  /** True when the last window since the last step was as the earlier ones. */
  isUsual(): boolean {
    return this.#isUsual;
  }

  /** True when the last window since the last step was unlike the earlier ones. */
  isUnusual(): boolean {
    return this.#isUnusual;
  }

  #close(share: number): void {
    const windows = this.#windows();
    const unusual = windows.filter(
      ({kind, seen, expected, score}) =>
        seen >= leastRatio * expected && this.#history[kind].isUnusual(score),
    );
    const isKnown = windows.some(w => this.#history[w.kind].isKnown);
    this.#isUsual = isKnown && unusual.length === 0;
    this.#isUnusual = unusual.length > 0 && share >= controlShare;
    if (share >= 1) this.#onFullWindow(unusual[0]);
    else this.#onEarlierWindow(windows);
    this.#clear();
  }

  #onFullWindow(unusual: Window | undefined): void {
    if (unusual) this.#change ??= describe(unusual);
  }

  #onEarlierWindow(windows: readonly Window[]): void {
    // At low shares all windows tell of the noise. Later on, unusual windows
    // would make a fault of the new version usual.
    if (this.#isUnusual) {
      this.#unusualRun += 1;
      if (this.#unusualRun >= maxUnusual) this.#forget();
      return;
    }
    this.#unusualRun = 0;
    for (const {kind, score} of windows) this.#history[kind].add(score);
    for (const {counts, rates} of this.#cells.values()) rates.add(counts);
  }

  /** The present window by kind of event; empty while no rates are known. */
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

  #forget(): void {
    this.#cells.clear();
    this.#history = newHistory();
    this.#unusualRun = 0;
  }

  #clear(): void {
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
 * Excess of events with a spread that hardly depends on their number (square
 * root transformation of counts). With the logarithm of the ratio, errors of
 * 20% at 20 to 60 calls/s needed several windows.
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
