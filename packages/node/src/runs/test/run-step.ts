import {seededRandom} from '@verbenabeam/core';

/** Kinds of steps with their weights: operations first, then faults. */
const weights = {
  read: 16,
  write: 12,
  again: 10,
  large: 4,
  stream: 4,
  cancel: 3,
  tight: 3,
  submit: 3,
  race: 2,
  takeBack: 1,
  drain: 1,
  stop: 2,
  kill: 2,
  restart: 4,
  crashUpstream: 2,
  poison: 2,
  leave: 2,
  cut: 3,
  outage: 2,
  lose: 2,
  slow: 1,
} as const;

/** Name of an operation or a fault. */
export type StepKind = keyof typeof weights;

/** One step of a run; the run waits `gapMs` before the next one. */
export interface Step {
  readonly kind: StepKind;
  /** Chooses the instance, or the key to repeat. */
  readonly a: number;
  /** Chooses a size or a time. */
  readonly b: number;
  readonly gapMs: number;
}

const maxChoice = 10_000;
const maxGapMs = 90;
const kinds = Object.entries(weights).flatMap(([kind, weight]) =>
  Array.from({length: weight}, () => kind as StepKind),
);

const members = [0, 1, 2, 3, 4];
/** Choice of a stream of about one second. */
const longStream = 149;

/**
 * Streams that are cut at each instance. Whether one of the random steps cuts
 * an answer depends on the load of the machine.
 */
const opening: readonly Step[] = [
  ...members.map(a => step('stream', a, longStream, 50)),
  ...members.map(a => step('cut', a, 0, 0)),
];

/** The steps of a seed: the opening and random ones. */
export function stepsOf(seed: number, count: number): Step[] {
  const random = seededRandom(seed);
  const steps = Array.from({length: count}, () =>
    step(
      random.pick(kinds),
      random.below(maxChoice),
      random.below(maxChoice),
      random.below(maxGapMs),
    ),
  );
  return [...opening, ...steps];
}

function step(kind: StepKind, a: number, b: number, gapMs: number): Step {
  return {kind, a, b, gapMs};
}

/** One line per step. */
export function describeSteps(steps: readonly Step[]): string {
  return steps
    .map(({kind, a, b, gapMs}) => `  ${kind} a=${a} b=${b} gap=${gapMs}`)
    .join('\n');
}
