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
  const from = fromText.split('\n');
  const to = toText.split('\n');
  const positions = indexLines(from);
  const steps: DeltaStep[] = [];
  let fresh: string[] = [];
  let expected = 0;
  for (let at = 0; at < to.length;) {
    const run = longestRun(from, to, at, expected, positions);
    if (run.count === 0) {
      fresh.push(to[at] ?? '');
      expected++;
      at++;
      continue;
    }
    if (fresh.length > 0) steps.push(fresh.join('\n'));
    fresh = [];
    steps.push([run.first, run.count]);
    at += run.count;
    expected = run.first + run.count;
  }
  if (fresh.length > 0) steps.push(fresh.join('\n'));
  return {base: hashText(fromText), result: hashText(toText), steps};
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

function indexLines(lines: readonly string[]): ReadonlyMap<string, number[]> {
  const positions = new Map<string, number[]>();
  for (const [i, line] of lines.entries()) {
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
