import {appendFileSync} from 'node:fs';

/** A fault while it lasts, and after. */
export interface FaultEntry {
  readonly kind: string;
  /** Numbers of the machines that it touches; empty: the store for all. */
  readonly machines: readonly number[];
  readonly from: number;
  until: number;
}

/** The faults that were injected, with their times. */
export class FaultLog {
  readonly #entries: FaultEntry[] = [];
  readonly #file: string;

  /** @param file - Gets a line when a fault begins and one when it ends. */
  constructor(file: string) {
    this.#file = file;
  }

  /** Notes the begin of a fault; call the result at its end. */
  begin(kind: string, machines: readonly number[]): () => void {
    const entry = {kind, machines, from: performance.now(), until: Infinity};
    this.#entries.push(entry);
    this.#write('begins', entry);
    return () => {
      if (entry.until !== Infinity) return;
      entry.until = performance.now();
      this.#write('ends', entry);
    };
  }

  /** Counts by kind. */
  counts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const {kind} of this.#entries) counts[kind] = (counts[kind] ?? 0) + 1;
    return counts;
  }

  /** Faults that lasted at some time in between and that a filter takes. */
  between(
    from: number,
    until: number,
    takes: (entry: FaultEntry) => boolean,
  ): FaultEntry[] {
    return this.#entries.filter(
      entry => entry.from <= until && entry.until >= from && takes(entry),
    );
  }

  #write(what: string, {kind, machines}: FaultEntry): void {
    const at = Math.round(performance.now());
    const line = JSON.stringify({at, time: Date.now(), what, kind, machines});
    appendFileSync(this.#file, `${line}\n`);
  }
}
