export interface TestRun {
  outcomes: {name: string; passed: boolean}[];
  /** False if the run broke off. */
  hasEnded: boolean;
}

export function readTestRun(lines: readonly string[]): TestRun;
