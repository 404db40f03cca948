import {appendFileSync} from 'node:fs';

/** What callers and upstreams are promised; the keys are printed. */
export const PROMISES = {
  runsOnce: 'a call that may not run twice runs at most once',
  notRun: 'a call that was refused as not run does not run',
  wholeAnswer: 'an answer is the whole answer to its own request',
  refusalTime: 'a refusal says when to return',
  endExplained: 'a call without an answer is explained by a fault',
  plannedStop: 'a planned stop cuts no call',
  stopEnds: 'a node that was told to stop ends within 20 s',
  alive: 'a process ends only when it was killed or stopped',
  noError: 'no process reports an unexpected error or a broken invariant',
  configInTime:
    'a configuration is in force within 2 s while the store is calm',
  configForward: 'a configuration is never taken back',
  leftUnused: 'an upstream that has left gets no call after 2 s',
  servedAgain: 'calls are served again within 15 s after the faults',
} as const;

/** Key of a promise. */
export type PromiseName = keyof typeof PROMISES;

/** Findings that are printed in full; all are in the file. */
const maxPrinted = 10;

/** Counts what was checked and what was broken. */
export class Promises {
  readonly #checked = new Map<PromiseName, number>();
  readonly #broken = new Map<PromiseName, number>();
  readonly #notes = new Map<string, number>();
  readonly #findings: string[] = [];
  readonly #file: string;

  /** @param file - Gets a line for each finding. */
  constructor(file: string) {
    this.#file = file;
  }

  get isKept(): boolean {
    return this.#broken.size === 0;
  }

  /** @param details - What the finding says if the promise is broken. */
  check(name: PromiseName, holds: boolean, details: () => object): void {
    this.#checked.set(name, (this.#checked.get(name) ?? 0) + 1);
    if (holds) return;
    this.#broken.set(name, (this.#broken.get(name) ?? 0) + 1);
    const at = Math.round(performance.now());
    const line = JSON.stringify({promise: name, at, ...details()});
    this.#findings.push(line);
    appendFileSync(this.#file, `${line}\n`);
  }

  /** Counts an outcome that is allowed, or a check that could not be made. */
  note(what: string): void {
    this.#notes.set(what, (this.#notes.get(what) ?? 0) + 1);
  }

  report(): string[] {
    const names = Object.keys(PROMISES) as PromiseName[];
    const lines = names.map(name => {
      const checked = this.#checked.get(name) ?? 0;
      const broken = this.#broken.get(name) ?? 0;
      return `${broken > 0 ? 'BROKEN' : 'kept  '} ${PROMISES[name]}: ${checked} checked, ${broken} broken`;
    });
    const notes = [...this.#notes].sort(([a], [b]) => (a < b ? -1 : 1));
    const found = this.#findings.slice(0, maxPrinted);
    return [
      ...lines,
      ...notes.map(([what, count]) => `calls: ${what}: ${count}`),
      ...found.map(line => `finding: ${line}`),
    ];
  }
}
