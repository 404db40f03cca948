import {seededRandom} from '@verbenabeam/core';

/** Relative frequency of each kind of step: operations first, then faults. */
const weights = {
  read: 16,
  write: 12,
  repeatWrite: 10,
  largeBody: 4,
  stream: 4,
  cancel: 3,
  shortDeadline: 3,
  submit: 3,
  concurrentSubmits: 2,
  takeBack: 1,
  drainAndStop: 1,
  stop: 2,
  kill: 2,
  restart: 4,
  crashUpstream: 2,
  crashingRequest: 2,
  replaceUpstream: 2,
  cutConnections: 3,
  storeOutage: 2,
  loseStoreResponses: 2,
  slowStore: 1,
} as const;

/** An operation or a fault. */
export type StepKind = keyof typeof weights;

/** One step of a test run, followed by a wait of `gapMs`. */
export interface Step {
  readonly kind: StepKind;
  /** Random number that selects the instance, or the key to repeat. */
  readonly a: number;
  /** Random number that selects a size or a duration. */
  readonly b: number;
  readonly gapMs: number;
}

const maxChoice = 10_000;
const maxGapMs = 90;
const kinds = Object.entries(weights).flatMap(([kind, weight]) =>
  Array.from({length: weight}, () => kind as StepKind),
);

const instances = [0, 1, 2, 3, 4];
/** Value of `b` for a streamed response of about one second. */
const longStream = 149;

/**
 * Starts a streamed response at each instance and then closes the connections of
 * each instance, so that every run has interrupted responses. Whether the random
 * steps interrupt a response depends on the load of the machine.
 */
const openingSteps: readonly Step[] = [
  ...instances.map(a => step('stream', a, longStream, 50)),
  ...instances.map(a => step('cutConnections', a, 0, 0)),
];

/** Generates the steps of a seed: the opening steps and `count` random ones. */
export function generateSteps(seed: number, count: number): Step[] {
  const random = seededRandom(seed);
  const steps = Array.from({length: count}, () =>
    step(
      random.pick(kinds),
      random.below(maxChoice),
      random.below(maxChoice),
      random.below(maxGapMs),
    ),
  );
  return [...openingSteps, ...steps];
}

function step(kind: StepKind, a: number, b: number, gapMs: number): Step {
  return {kind, a, b, gapMs};
}

/** Formats the steps, one per line. */
export function describeSteps(steps: readonly Step[]): string {
  return steps
    .map(({kind, a, b, gapMs}) => `  ${kind} a=${a} b=${b} gap=${gapMs}`)
    .join('\n');
}
