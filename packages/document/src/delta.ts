import {Result} from 'true-myth';
import {DOCUMENT_CODES, hashText, MeshError} from '@verbenabeam/core';

/**
 * A step of a delta: lines of the base as [first line, count], or new lines
 * joined by line feeds.
 *
 * @public
 */
export type DeltaStep = readonly [first: number, count: number] | string;

/** How to make one text from another. @public */
export interface Delta {
  /** Hash of the base text, not of the canonical form. */
  readonly base: string;
  /** Hash of the resulting text. */
  readonly result: string;
  readonly steps: readonly DeltaStep[];
}

/** Bounds the search time for lines that occur often. */
const maxCandidates = 8;

/** Computes a delta by lines. @public */
export function delta(fromText: string, toText: string): Delta {
  const steps = findSteps(fromText, toText, Infinity) ?? [];
  return {base: hashText(fromText), result: hashText(toText), steps};
}

/**
 * Computes a delta by lines, or returns null if it would have more steps. The
 * search of a rewritten text of 1 MB would otherwise take 50 to 100 ms, and its
 * delta is hardly smaller than the text.
 *
 * @public
 */
export function smallDelta(
  fromText: string,
  toText: string,
  maxSteps: number,
): Delta | null {
  const steps = findSteps(fromText, toText, maxSteps);
  if (!steps) return null;
  return {base: hashText(fromText), result: hashText(toText), steps};
}

/** Returns null if there would be more than `maxSteps`. */
function findSteps(
  fromText: string,
  toText: string,
  maxSteps: number,
): DeltaStep[] | null {
  const from = fromText.split('\n');
  const to = toText.split('\n');
  const head = runLength(from, to, 0, 0);
  const tail = tailLength(from, to, head);
  const end = to.length - tail;
  const steps: DeltaStep[] = head > 0 ? [[0, head]] : [];
  // Most edits change a few lines, so only the lines between are indexed.
  const positions = indexLines(from, head, from.length - tail);
  let fresh: string[] = [];
  let expected = head;
  for (let at = head; at < end;) {
    if (steps.length > maxSteps) return null;
    const run = longestRun(from, to, at, expected, positions);
    const count = Math.min(run.count, end - at);
    if (count === 0) {
      fresh.push(to[at] ?? '');
      expected++;
      at++;
      continue;
    }
    if (fresh.length > 0) steps.push(fresh.join('\n'));
    fresh = [];
    steps.push([run.first, count]);
    at += count;
    expected = run.first + count;
  }
  if (fresh.length > 0) steps.push(fresh.join('\n'));
  if (tail > 0) steps.push([from.length - tail, tail]);
  return steps.length > maxSteps ? null : steps;
}

/** Counts the equal lines at the end that do not belong to the equal head. */
function tailLength(
  from: readonly string[],
  to: readonly string[],
  head: number,
): number {
  const most = Math.min(from.length, to.length) - head;
  let count = 0;
  while (count < most && from.at(-1 - count) === to.at(-1 - count)) count++;
  return count;
}

/**
 * Applies a delta. Errors: `document.deltaBaseMismatch` and
 * `document.deltaResultMismatch`; the receiver then asks for the full text.
 *
 * @public
 */
export function applyDelta(
  fromText: string,
  change: Delta,
): Result<string, MeshError> {
  if (hashText(fromText) !== change.base) {
    return Result.err(mismatch('deltaBaseMismatch', change));
  }
  const text = assemble(fromText.split('\n'), change.steps);
  if (text === null || hashText(text) !== change.result) {
    return Result.err(mismatch('deltaResultMismatch', change));
  }
  return Result.ok(text);
}

/** Returns null if a step lies outside the base. */
function assemble(
  from: readonly string[],
  steps: readonly DeltaStep[],
): string | null {
  const parts: string[] = [];
  for (const step of steps) {
    if (typeof step === 'string') {
      parts.push(step);
      continue;
    }
    const [first, count] = step;
    if (first < 0 || count < 1 || first + count > from.length) return null;
    parts.push(from.slice(first, first + count).join('\n'));
  }
  return parts.join('\n');
}

function mismatch(
  name: 'deltaBaseMismatch' | 'deltaResultMismatch',
  change: Delta,
): MeshError {
  const code = DOCUMENT_CODES[name];
  const {base, result} = change;
  return new MeshError(code, code.text, {base, result});
}

function indexLines(
  lines: readonly string[],
  start: number,
  end: number,
): ReadonlyMap<string, number[]> {
  const positions = new Map<string, number[]>();
  for (let i = start; i < end; i++) {
    const line = lines[i] ?? '';
    const known = positions.get(line);
    if (!known) positions.set(line, [i]);
    else if (known.length < maxCandidates) known.push(i);
  }
  return positions;
}

/** Finds the longest run of base lines that equals the text from `at` on. */
function longestRun(
  from: readonly string[],
  to: readonly string[],
  at: number,
  expected: number,
  positions: ReadonlyMap<string, number[]>,
): {first: number; count: number} {
  // Most edits are in place, so the line after the last run is tried first.
  const inPlace = runLength(from, to, expected, at);
  if (inPlace > 1) return {first: expected, count: inPlace};
  let best = {first: expected, count: inPlace};
  for (const first of positions.get(to[at] ?? '') ?? []) {
    const count = runLength(from, to, first, at);
    if (count > best.count) best = {first, count};
  }
  return best;
}

function runLength(
  from: readonly string[],
  to: readonly string[],
  first: number,
  at: number,
): number {
  let count = 0;
  while (
    first + count < from.length &&
    at + count < to.length &&
    from[first + count] === to[at + count]
  ) {
    count++;
  }
  return count;
}
