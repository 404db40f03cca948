/** One row of the call part. @internal */
export interface CallScenario {
  /** Calls a second. */
  readonly rate: number;
  /** Size of the request body and of the response body. */
  readonly bytes: number;
  /** `changes`: a version is accepted and a node joins and leaves meanwhile. */
  readonly during: 'quiet' | 'changes';
}

const quiet = [1_024, 65_536].flatMap(bytes =>
  [100, 300, 600].map(rate => ({rate, bytes, during: 'quiet' as const})),
);

/** The rows of the call part, in their order. @internal */
export const callScenarios: readonly CallScenario[] = [
  ...quiet,
  {rate: 300, bytes: 1_024, during: 'changes'},
  {rate: 300, bytes: 65_536, during: 'changes'},
];

/** Whether the `--only` text chooses a scenario. @internal */
export function isChosen(scenario: CallScenario, only = ''): boolean {
  const labels = Object.entries(scenario).map(([k, v]) => `${k}=${v}`);
  return only
    .split(',')
    .filter(Boolean)
    .every(label => labels.includes(label));
}
